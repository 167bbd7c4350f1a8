package org.gentianslip.load.call;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.LongSupplier;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.CallSpec;

/**
 * Asks a model through one entry instance, once.
 *
 * <p>A stream counts as complete only if it ends with {@code [DONE]}. Safe for use by several
 * threads.
 */
final class ModelExchange {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final MediaType JSON_TYPE = MediaType.get("application/json");

  private final OkHttpClient client;
  private final LongSupplier clock;

  ModelExchange(OkHttpClient client, LongSupplier clock) {
    this.client = client;
    this.clock = clock;
  }

  Reply run(String address, CallSpec spec) {
    SentMark mark = new SentMark();
    try (Response response = client.newCall(request(address, spec, mark)).execute()) {
      if (!response.isSuccessful()) {
        return FailureReader.read(response);
      }
      String served = response.header("X-Served-Region", "");
      return spec.share().action().isStream()
          ? new StreamedAnswer(clock).read(response.body().source(), served)
          : whole(response, served);
    } catch (IOException e) {
      return FailureReader.broken(mark, e);
    }
  }

  private Reply whole(Response response, String served) throws IOException {
    JsonNode choice = JSON.readTree(response.body().bytes()).path("choices").path(0);
    String text = StreamedAnswer.text(choice, "message");
    return new Reply.Answered(text, served, Timing.whole(clock.getAsLong()));
  }

  private static Request request(String address, CallSpec spec, SentMark mark) {
    boolean chat = spec.share().action() != ActionType.COMPLETION_STREAM;
    String path = chat ? "/v1/chat/completions" : "/v1/completions";
    return EntryRequests.to(address, path, spec)
        .tag(SentMark.class, mark)
        .post(RequestBody.create(body(spec, chat), JSON_TYPE))
        .build();
  }

  private static byte[] body(CallSpec spec, boolean chat) {
    ObjectNode body = JSON.createObjectNode();
    body.put("model", spec.share().target());
    body.put("max_tokens", spec.share().maxTokens());
    body.put("stream", spec.share().action().isStream());
    if (chat) {
      body.putArray("messages").addObject().put("role", "user").put("content", spec.prompt());
    } else {
      body.put("prompt", spec.prompt());
    }
    try {
      return JSON.writeValueAsBytes(body);
    } catch (IOException e) {
      throw new IllegalStateException("a request's body cannot be written", e);
    }
  }
}
