package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/** Hears the answer to one exchange; called on the exchange's event loop. */
interface ResponseListener {

  /** The head of the answer came. */
  void head(int status, HttpHeaders headers);

  /** A part of the body came. */
  void part(byte[] bytes);

  /** The answer is complete. */
  void complete();

  /**
   * The exchange ended without a complete answer; nothing else follows.
   *
   * @param written whether a byte of the request may have been written
   * @param cause why, for logs
   */
  void failed(boolean written, String cause);
}
