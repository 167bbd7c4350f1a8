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
import org.gentianslip.entry.http.BoundedHttpClients;

/**
 * Sends requests to backend servers and peers, each at most once.
 *
 * <p>The HTTP library neither repeats a request nor follows a redirect. Each body can be read only
 * once, so that the library's internal retries do not apply either. Cancelling a call closes its
 * connection. Safe for use by several threads.
 */
public final class UpstreamClient {

  private static final int MAX_CALLS = 8_192;
  private static final int MAX_IDLE_CONNECTIONS = 256;
  private static final long MAX_IDLE_SECONDS = 10;

  private final OkHttpClient pooled;
  private final OkHttpClient unpooled;

  /** Creates a client with a connection pool of its own. */
  public UpstreamClient() {
    var dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAX_CALLS);
    dispatcher.setMaxRequestsPerHost(MAX_CALLS);
    pooled =
        BoundedHttpClients.newBuilder()
            .dispatcher(dispatcher)
            .connectionPool(
                new ConnectionPool(MAX_IDLE_CONNECTIONS, MAX_IDLE_SECONDS, TimeUnit.SECONDS))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .addNetworkInterceptor(new SingleSendInterceptor())
            .build();
    unpooled =
        pooled.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS)).build();
  }

  /** Sends a request that may be repeated; it may use a pooled connection. */
  public Call start(
      UpstreamRequest request, UpstreamTimeouts timeouts, Consumer<UpstreamResult> resultConsumer) {
    return send(pooled, request, timeouts, resultConsumer);
  }

  /** Sends a request that must not be repeated, on a connection of its own. */
  public Call startOnFreshConnection(
      UpstreamRequest request, UpstreamTimeouts timeouts, Consumer<UpstreamResult> resultConsumer) {
    return send(unpooled, request, timeouts, resultConsumer);
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
      Consumer<UpstreamResult> resultConsumer) {
    var permit =
        new SingleSendInterceptor.SendPermit(new AttemptJournal(), request.sendDeadlineNanos());
    var call =
        client
            .newBuilder()
            .connectTimeout(timeouts.connect())
            .readTimeout(timeouts.idle())
            .writeTimeout(timeouts.idle())
            .callTimeout(timeouts.total())
            .build()
            .newCall(toOkHttp(request, permit));
    call.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failedCall, IOException cause) {
            resultConsumer.accept(
                new UpstreamResult.Failed(permit.journal().close(), cause.getMessage()));
          }

          @Override
          public void onResponse(Call answeredCall, Response response) {
            resultConsumer.accept(classify(response, permit.journal()));
          }
        });
    return call;
  }

  private static UpstreamResult classify(Response response, AttemptJournal journal) {
    if (!SingleSendInterceptor.isNotStarted(response)) {
      return new UpstreamResult.Responded(response, journal);
    }
    try (response) {
      return new UpstreamResult.Refused(RefusalCode.read(response), journal.close());
    }
  }

  private static Request toOkHttp(
      UpstreamRequest request, SingleSendInterceptor.SendPermit permit) {
    var builder =
        new Request.Builder()
            .url(request.url())
            .tag(SingleSendInterceptor.SendPermit.class, permit);
    request.headers().forEach(builder::header);
    RequestBody body = request.body() == null ? null : oneShotBody(request);
    return builder.method(request.method(), body).build();
  }

  private static RequestBody oneShotBody(UpstreamRequest request) {
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
