package org.gentianslip.entry.http;

import java.util.List;
import okhttp3.ConnectionSpec;
import okhttp3.OkHttpClient;

/**
 * Creates HTTP clients that keep a bounded number of bytes of what a server sends.
 *
 * <p>A connection fails if it receives too many bytes that are no body, be it in a head, between
 * the chunks of a body or after it. Bodies are passed on as received, so that a bound of their
 * reader holds for what is received too. A body that ends with the connection is incomplete if its
 * request could not be written. Stateless and safe for use by several threads.
 */
public final class BoundedHttpClients {

  /** The bytes that may be received without a byte of a body; two heads of the HTTP library fit. */
  private static final long MAX_BYTES_WITHOUT_BODY = 1 << 20;

  private BoundedHttpClients() {}

  /** Returns the builder of a client for plain text connections. */
  public static OkHttpClient.Builder newBuilder() {
    return new OkHttpClient.Builder()
        .connectionSpecs(List.of(ConnectionSpec.CLEARTEXT))
        .socketFactory(new BoundedSocketFactory(MAX_BYTES_WITHOUT_BODY))
        .addInterceptor(new UncompressedInterceptor())
        .addNetworkInterceptor(new BodyProgressInterceptor());
  }
}
