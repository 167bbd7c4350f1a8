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
 * Calls a service through one entry instance, once.
 *
 * <p>Every call has a body that names it. Safe for use by several threads.
 */
final class ServiceExchange {

  private static final MediaType JSON_TYPE = MediaType.get("application/json");

  private final OkHttpClient reads;
  private final OkHttpClient writes;
  private final LongSupplier clock;

  ServiceExchange(OkHttpClient reads, OkHttpClient writes, LongSupplier clock) {
    this.reads = reads;
    this.writes = writes;
    this.clock = clock;
  }

  /** Calls the service with the ticket, or without one if it is null. */
  Reply run(String address, CallSpec spec, String ticket) {
    SentMark mark = new SentMark();
    boolean write = spec.share().action() == ActionType.SERVICE_WRITE;
    OkHttpClient client = write ? writes : reads;
    try (Response response = client.newCall(request(address, spec, ticket, mark)).execute()) {
      if (!response.isSuccessful()) {
        return FailureReader.read(response);
      }
      String body = response.body().string();
      String served = response.header("X-Served-Region", "");
      return new Reply.Answered(body, served, Timing.whole(clock.getAsLong()));
    } catch (IOException e) {
      return FailureReader.broken(mark, e);
    }
  }

  private static Request request(String address, CallSpec spec, String ticket, SentMark mark) {
    String path = "/services/" + spec.share().target();
    Request.Builder request = EntryRequests.to(address, path, spec).tag(SentMark.class, mark);
    if (ticket != null) {
      request.header("X-Ticket", ticket);
    }
    return request.post(RequestBody.create(spec.serviceBody(), JSON_TYPE)).build();
  }
}
