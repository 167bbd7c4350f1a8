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
final class SingleSendGate implements Interceptor {

  /**
   * The permission to send one request.
   *
   * @param journal records the progress of the attempt
   * @param notAfterNanos when the permission ends, in nanoseconds of the monotonic clock
   */
  record Pass(AttemptJournal journal, long notAfterNanos) {}

  @Override
  public Response intercept(Chain chain) throws IOException {
    Pass pass = chain.request().tag(Pass.class);
    if (pass == null) {
      throw new IOException("The request has no pass to be sent");
    }
    if (!pass.journal().beginWrite(System.nanoTime(), pass.notAfterNanos())) {
      throw new IOException("The request may not be sent, or not again");
    }
    Response response = chain.proceed(chain.request());
    pass.journal().headersRead(response.code(), isNotStarted(response));
    return response;
  }

  static boolean isNotStarted(Response response) {
    return "true".equals(response.header("X-Not-Started"));
  }
}
