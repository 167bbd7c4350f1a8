package org.gentianslip.entry.relay;

import java.io.IOException;
import okhttp3.Response;

/** Reads response bodies of bounded size. Stateless and safe for use by several threads. */
public final class ResponseBodyReader {

  /** The maximum size of a response that is not streamed, in bytes. */
  public static final long MAX_BYTES = 16L << 20;

  private ResponseBodyReader() {}

  /**
   * Reads the body and closes the response.
   *
   * @throws IOException if the body is incomplete or is larger than {@link #MAX_BYTES}
   */
  public static byte[] read(Response response) throws IOException {
    return read(response, MAX_BYTES);
  }

  /**
   * Reads the body and closes the response.
   *
   * @throws ResponseTooLargeException if the body is larger than {@code maxBytes} bytes
   * @throws IOException if the body is incomplete
   */
  public static byte[] read(Response response, long maxBytes) throws IOException {
    try (response) {
      var source = response.body().source();
      if (source.request(maxBytes + 1)) {
        throw new ResponseTooLargeException(maxBytes);
      }
      return source.readByteArray();
    }
  }
}
