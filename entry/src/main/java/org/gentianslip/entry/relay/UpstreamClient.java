package org.gentianslip.entry.relay;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;
import org.gentianslip.core.outcome.AttemptJournal;

/**
 * Sends requests to backend servers and peers, each at most once.
 *
 * <p>The HTTP library neither repeats a request nor follows a redirect. Each body can be read only
 * once, so that the library's internal retries do not apply either. Cancelling a call closes its
 * connection. Safe for use by several threads.
 */
public final class UpstreamClient {

  private static final int MAX_EXCHANGES = 8_192;
  private static final int MAX_IDLE_CONNECTIONS = 256;
  private static final long IDLE_SECONDS = 10;

  private final OkHttpClient pooled;
  private final OkHttpClient fresh;

  /** Creates a client with a connection pool of its own. */
  public UpstreamClient() {
    var dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAX_EXCHANGES);
    dispatcher.setMaxRequestsPerHost(MAX_EXCHANGES);
    pooled =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(
                new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .addNetworkInterceptor(new SingleSendGate())
            .build();
    fresh = pooled.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS)).build();
  }

  /** Sends a request that may be repeated; it may use a pooled connection. */
  public Call start(
      UpstreamRequest request, UpstreamTimeouts timeouts, Consumer<UpstreamResult> receiver) {
    return send(pooled, request, timeouts, receiver);
  }

  /** Sends a request that must not be repeated, on a connection of its own. */
  public Call startOnFreshConnection(
      UpstreamRequest request, UpstreamTimeouts timeouts, Consumer<UpstreamResult> receiver) {
    return send(fresh, request, timeouts, receiver);
  }

  /**
   * Closes idle connections. To be called after a pause of this process, when they may be broken.
   */
  public void evictConnections() {
    pooled.connectionPool().evictAll();
  }

  private static Call send(
      OkHttpClient client,
      UpstreamRequest request,
      UpstreamTimeouts timeouts,
      Consumer<UpstreamResult> receiver) {
    var pass = new SingleSendGate.Pass(new AttemptJournal(), request.notAfterNanos());
    var call =
        client
            .newBuilder()
            .connectTimeout(timeouts.connect())
            .readTimeout(timeouts.silence())
            .writeTimeout(timeouts.silence())
            .callTimeout(timeouts.whole())
            .build()
            .newCall(toHttp(request, pass));
    call.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failed, IOException cause) {
            receiver.accept(new UpstreamResult.Failed(pass.journal().close(), cause.getMessage()));
          }

          @Override
          public void onResponse(Call answered, Response response) {
            receiver.accept(classify(response, pass.journal()));
          }
        });
    return call;
  }

  private static UpstreamResult classify(Response response, AttemptJournal journal) {
    if (!SingleSendGate.isNotStarted(response)) {
      return new UpstreamResult.Answer(response, journal);
    }
    try (response) {
      return new UpstreamResult.Refused(RefusalCode.read(response), journal.close());
    }
  }

  private static Request toHttp(UpstreamRequest request, SingleSendGate.Pass pass) {
    var builder = new Request.Builder().url(request.url()).tag(SingleSendGate.Pass.class, pass);
    request.headers().forEach(builder::header);
    RequestBody body = request.body() == null ? null : oneShot(request);
    return builder.method(request.method(), body).build();
  }

  private static RequestBody oneShot(UpstreamRequest request) {
    MediaType type = request.contentType() == null ? null : MediaType.parse(request.contentType());
    return new RequestBody() {
      @Override
      public MediaType contentType() {
        return type;
      }

      @Override
      public long contentLength() {
        return request.body().length;
      }

      @Override
      public boolean isOneShot() {
        return true;
      }

      @Override
      public void writeTo(BufferedSink sink) throws IOException {
        sink.write(request.body());
      }
    };
  }
}
