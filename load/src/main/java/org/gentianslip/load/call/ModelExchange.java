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
 * Sends a call of a model to one entry instance, once.
 *
 * <p>A streamed answer is complete only if it ends with {@code [DONE]}. Thread-safe.
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
    SentFlag sentFlag = new SentFlag();
    try (Response response = client.newCall(request(address, spec, sentFlag)).execute()) {
      if (!response.isSuccessful()) {
        return FailureReader.fromResponse(response);
      }
      String servedRegion = response.header("X-Served-Region", "");
      return spec.share().action().isStream()
          ? new StreamedAnswerReader(clock).read(response.body().source(), servedRegion)
          : wholeAnswer(response, servedRegion);
    } catch (IOException e) {
      return FailureReader.fromException(sentFlag, e);
    }
  }

  private Reply wholeAnswer(Response response, String servedRegion) throws IOException {
    JsonNode choice = JSON.readTree(response.body().bytes()).path("choices").path(0);
    String text = StreamedAnswerReader.text(choice, "message");
    return new Reply.Answered(text, servedRegion, AnswerTiming.ofSinglePart(clock.getAsLong()));
  }

  private static Request request(String address, CallSpec spec, SentFlag sentFlag) {
    boolean chat = spec.share().action() != ActionType.COMPLETION_STREAM;
    String path = chat ? "/v1/chat/completions" : "/v1/completions";
    return EntryRequests.to(address, path, spec)
        .tag(SentFlag.class, sentFlag)
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
      throw new IllegalStateException("cannot write the body of a model call as JSON", e);
    }
  }
}
