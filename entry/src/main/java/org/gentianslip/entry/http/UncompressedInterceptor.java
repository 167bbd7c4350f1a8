package org.gentianslip.entry.http;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Asks for responses that are not compressed, unless the request names its own codings.
 *
 * <p>The HTTP library then passes bodies on as received: neither can a small one expand, nor can
 * its compressed form have a header of any size. Stateless and safe for use by several threads.
 */
final class UncompressedInterceptor implements Interceptor {

  private static final String ACCEPT_ENCODING = "Accept-Encoding";

  @Override
  public Response intercept(Chain chain) throws IOException {
    Request request = chain.request();
    if (request.header(ACCEPT_ENCODING) != null) {
      return chain.proceed(request);
    }
    return chain.proceed(request.newBuilder().header(ACCEPT_ENCODING, "identity").build());
  }
}
