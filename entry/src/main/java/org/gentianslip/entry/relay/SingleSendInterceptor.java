package org.gentianslip.entry.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.util.Optional;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.gentianslip.core.outcome.AttemptJournal;
import org.gentianslip.entry.http.ResponseFraming;

/**
 * Ensures that the HTTP library writes each request at most once and never after its send deadline.
 *
 * <p>Runs after the connection is established and immediately before the first byte is written. If
 * the library sends the same request again by its own retry rules, the second attempt fails. A
 * response whose head does not tell where its body ends counts as none. Safe for use by several
 * threads.
 */
final class SingleSendInterceptor implements Interceptor {

  /**
   * The permission to send one request.
   *
   * @param journal records the progress of the attempt
   * @param sendDeadlineNanos when the permission ends, in nanoseconds of the monotonic clock
   */
  record SendPermit(AttemptJournal journal, long sendDeadlineNanos) {}

  @Override
  public Response intercept(Chain chain) throws IOException {
    SendPermit permit = chain.request().tag(SendPermit.class);
    if (permit == null) {
      throw new IOException("The request has no send permit");
    }
    if (!permit.journal().beginWrite(System.nanoTime(), permit.sendDeadlineNanos())) {
      throw new IOException("The request was sent before or its send deadline has passed");
    }
    Response response = chain.proceed(chain.request());
    Optional<String> fault =
        ResponseFraming.fault(response.code(), response.message(), headers(response));
    if (fault.isPresent()) {
      chain.call().cancel();
      response.close();
      throw new IOException("The bytes received are no response: " + fault.get());
    }
    permit.journal().headersRead(response.code(), isNotStarted(response));
    return response;
  }

  private static HttpHeaders headers(Response response) {
    var headers = new DefaultHttpHeaders(false);
    response.headers().forEach(h -> headers.add(h.getFirst(), h.getSecond()));
    return headers;
  }

  static boolean isNotStarted(Response response) {
    return "true".equals(response.header("X-Not-Started"));
  }
}
