package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/** Receives the response of one {@link Exchange}, on the event loop of that exchange. */
interface ResponseListener {

  /** Called when a new connection was established for the exchange, before it is written. */
  default void onConnected() {}

  /** Called when the status line and the headers have been received. */
  void onHead(int status, HttpHeaders headers);

  /** Called for each received part of the body. */
  void onBodyPart(byte[] bytes);

  /** Called when the response has been received completely. */
  void onComplete();

  /**
   * Called when the exchange has ended without a complete response. No other call follows.
   *
   * @param written whether any byte of the request may have been written
   * @param cause the cause, for logs
   */
  void onFailure(boolean written, String cause);

  /**
   * Called when the request was not written because its {@link WriteCheck} did not allow it. No
   * other call follows.
   */
  void onNotWritten();
}
