package org.gentianslip.load.call;

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
 * Sends a service call to one entry instance, once.
 *
 * <p>The body of every call identifies it. Thread-safe.
 */
final class ServiceExchange {

  private static final MediaType JSON_TYPE = MediaType.get("application/json");

  private final OkHttpClient readClient;
  private final OkHttpClient writeClient;
  private final LongSupplier clock;

  ServiceExchange(OkHttpClient readClient, OkHttpClient writeClient, LongSupplier clock) {
    this.readClient = readClient;
    this.writeClient = writeClient;
    this.clock = clock;
  }

  /** Sends the call with the ticket, or without a ticket if it is null. */
  Reply run(String address, CallSpec spec, String ticket) {
    SentFlag sentFlag = new SentFlag();
    boolean write = spec.share().action() == ActionType.SERVICE_WRITE;
    OkHttpClient client = write ? writeClient : readClient;
    try (Response response = client.newCall(request(address, spec, ticket, sentFlag)).execute()) {
      if (!response.isSuccessful()) {
        return FailureReader.fromResponse(response);
      }
      String body = response.body().string();
      String servedRegion = response.header("X-Served-Region", "");
      return new Reply.Answered(body, servedRegion, AnswerTiming.ofSinglePart(clock.getAsLong()));
    } catch (IOException e) {
      return FailureReader.fromException(sentFlag, e);
    }
  }

  private static Request request(String address, CallSpec spec, String ticket, SentFlag sentFlag) {
    String path = "/services/" + spec.share().target();
    Request.Builder request = EntryRequests.to(address, path, spec).tag(SentFlag.class, sentFlag);
    if (ticket != null) {
      request.header("X-Ticket", ticket);
    }
    return request.post(RequestBody.create(spec.serviceBody(), JSON_TYPE)).build();
  }
}
