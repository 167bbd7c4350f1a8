package org.gentianslip.standin.http;

/**
 * Handles HTTP requests.
 *
 * <p>Implementations are called by several event loops concurrently, must be safe for that, and
 * must not block. The response may be sent later and by any thread.
 */
@FunctionalInterface
public interface HttpHandler {

  /**
   * Handles one request whose body is complete.
   *
   * @param exchange the request, to be responded to
   */
  void handle(HttpExchange exchange);
}
