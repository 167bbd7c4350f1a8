package org.gentianslip.load.call;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/**
 * Makes HTTP clients that send every request once.
 *
 * <p>Neither a failed connection nor a redirect nor a {@code Retry-After} header leads to a second
 * request. Stateless and safe for use by several threads.
 */
public final class HttpClients {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration ASK_TIMEOUT = Duration.ofSeconds(3);
  private static final int POOLED_CONNECTIONS = 512;
  private static final long POOLED_SECONDS = 30;

  private HttpClients() {}

  /** Returns a client that reuses connections. */
  public static OkHttpClient pooled(Duration callTimeout) {
    return base(callTimeout)
        .connectionPool(new ConnectionPool(POOLED_CONNECTIONS, POOLED_SECONDS, TimeUnit.SECONDS))
        .build();
  }

  /** Returns a client that opens a connection for every call. */
  public static OkHttpClient fresh(Duration callTimeout) {
    return base(callTimeout)
        .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
        .build();
  }

  /** Returns a client for short questions about entries. */
  public static OkHttpClient asking() {
    return pooled(ASK_TIMEOUT);
  }

  private static OkHttpClient.Builder base(Duration callTimeout) {
    return new OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .addNetworkInterceptor(HttpClients::withoutRetryAfter)
        .eventListener(new SentMark.Setter())
        .connectTimeout(CONNECT_TIMEOUT)
        .readTimeout(callTimeout)
        .writeTimeout(callTimeout)
        .callTimeout(callTimeout);
  }

  private static Response withoutRetryAfter(Interceptor.Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    return response.newBuilder().removeHeader("Retry-After").build();
  }
}
