package org.gentianslip.entry.relay;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.gentianslip.core.outcome.AttemptJournal;

/**
 * Lets the library write each request at most once, and only while its right to run lasts.
 *
 * <p>It runs when a connection stands and immediately before the first byte. A second send of the
 * same call, which the library may begin by its own rules, ends in an error. Safe for use by
 * several threads.
 */
final class SingleSendGate implements Interceptor {

  /**
   * Belongs to one call.
   *
   * @param journal the facts of the attempt
   * @param notAfterNanos when the right to write ends, in nanoseconds of the monotonic clock
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
