package org.gentianslip.entry.relay;

import java.io.IOException;

/** Thrown when a response is larger than its reader allows. */
public final class ResponseTooLargeException extends IOException {

  private static final long serialVersionUID = 1L;

  ResponseTooLargeException(long maxBytes) {
    super("The response is larger than " + maxBytes + " bytes");
  }
}
