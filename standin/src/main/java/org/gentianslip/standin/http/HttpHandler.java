package org.gentianslip.standin.http;

/**
 * Answers calls.
 *
 * <p>Implementations are called by several event loops at once, must be safe for that, and must not
 * block. A call may be answered later and by any thread.
 */
@FunctionalInterface
public interface HttpHandler {

  /**
   * Handles one call whose body is complete.
   *
   * @param call the call to answer
   */
  void handle(HttpCall call);
}
