package org.gentianslip.entry.http;

import java.io.IOException;
import java.net.Socket;
import okhttp3.Interceptor;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.ForwardingSource;
import okio.Okio;

/**
 * Marks progress on a {@link BoundedSocket} whenever bytes of a response body are passed on.
 *
 * <p>Bounding the body itself is left to its reader. Stateless and safe for use by several threads.
 */
final class BodyProgressInterceptor implements Interceptor {

  @Override
  public Response intercept(Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    Socket socket = chain.connection().socket();
    if (!(socket instanceof BoundedSocket bounded)) {
      throw new IOException("The connection does not bound what it receives");
    }
    ResponseBody body = response.body();
    var source =
        new ForwardingSource(body.source()) {
          @Override
          public long read(Buffer sink, long maxBytes) throws IOException {
            long bytes = super.read(sink, maxBytes);
            if (bytes > 0) {
              bounded.markProgress();
            }
            return bytes;
          }
        };
    return response
        .newBuilder()
        .body(ResponseBody.create(Okio.buffer(source), body.contentType(), body.contentLength()))
        .build();
  }
}
