package org.gentianslip.load.call;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/**
 * Creates HTTP clients that send every request exactly once.
 *
 * <p>The clients do not repeat a request after a failed connection, a redirect or a {@code
 * Retry-After} header. Stateless and thread-safe.
 */
public final class HttpClients {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(3);
  private static final int POOLED_CONNECTIONS = 512;
  private static final long KEEP_ALIVE_SECONDS = 30;

  private HttpClients() {}

  /** Returns a client that keeps connections open for reuse. */
  public static OkHttpClient pooled(Duration callTimeout) {
    return newBuilder(callTimeout)
        .connectionPool(
            new ConnectionPool(POOLED_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
        .build();
  }

  /** Returns a client that opens a new connection for every call. */
  public static OkHttpClient unpooled(Duration callTimeout) {
    return newBuilder(callTimeout)
        .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
        .build();
  }

  /** Returns a client with a short time-out, for queries about entries. */
  public static OkHttpClient forQueries() {
    return pooled(QUERY_TIMEOUT);
  }

  private static OkHttpClient.Builder newBuilder(Duration callTimeout) {
    return new OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .addNetworkInterceptor(HttpClients::removeRetryAfter)
        .eventListener(new SentFlag.SettingListener())
        .connectTimeout(CONNECT_TIMEOUT)
        .readTimeout(callTimeout)
        .writeTimeout(callTimeout)
        .callTimeout(callTimeout);
  }

  private static Response removeRetryAfter(Interceptor.Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    return response.newBuilder().removeHeader("Retry-After").build();
  }
}
