package org.gentianslip.entry.relay;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.gentianslip.core.outcome.AttemptJournal;

/**
 * Ensures that the HTTP library writes each request at most once and never after its send deadline.
 *
 * <p>Runs after the connection is established and immediately before the first byte is written. If
 * the library sends the same request again by its own retry rules, the second attempt fails. Safe
 * for use by several threads.
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
    permit.journal().headersRead(response.code(), isNotStarted(response));
    return response;
  }

  static boolean isNotStarted(Response response) {
    return "true".equals(response.header("X-Not-Started"));
  }
}
