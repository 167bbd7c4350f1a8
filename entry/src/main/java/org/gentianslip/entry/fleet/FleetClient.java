package org.gentianslip.entry.fleet;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.entry.http.BoundedHttpClients;
import org.gentianslip.entry.http.Json;

/** An asynchronous HTTP client for calls to other instances. Safe for use by several threads. */
final class FleetClient {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final MediaType JSON = MediaType.get("application/json");

  /** The timeout of a call, which is less than the time until an instance counts as silent. */
  private static final long TIMEOUT_MILLIS = 700;

  /** The size limit of a response, with room for a copy of all published items. */
  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private static final int MAX_CALLS_PER_INSTANCE = 4;
  private static final int MAX_IDLE_CONNECTIONS = 16;
  private static final int IDLE_TIMEOUT_SECONDS = 5;

  private final OkHttpClient client;

  FleetClient() {
    var dispatcher = new Dispatcher();
    dispatcher.setMaxRequestsPerHost(MAX_CALLS_PER_INSTANCE);
    client =
        BoundedHttpClients.newBuilder()
            .dispatcher(dispatcher)
            .connectionPool(
                new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
            .callTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build();
  }

  /** Receives the result of a call. */
  interface Listener<T> {

    /** Called with the parsed response. */
    void onResponse(T response);

    /**
     * Called if there is no usable response, or it could not be processed; the cause was logged.
     */
    void onFailure();
  }

  /** Sends a JSON body and parses the response as JSON. */
  <T> void post(String address, String path, byte[] body, Class<T> type, Listener<T> listener) {
    call(request(address, path).post(RequestBody.create(body, JSON)).build(), type, listener);
  }

  /** Gets a resource and parses the response as JSON. */
  <T> void get(String address, String path, Class<T> type, Listener<T> listener) {
    call(request(address, path).build(), type, listener);
  }

  private static Request.Builder request(String address, String path) {
    return new Request.Builder().url("http://" + address + path);
  }

  private <T> void call(Request request, Class<T> type, Listener<T> listener) {
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                LOGGER.atFine().log("fleet: event=no-answer call=%s cause=%s", request.url(), e);
                listener.onFailure();
              }

              @Override
              public void onResponse(Call call, Response response) {
                try (response) {
                  if (!response.isSuccessful()) {
                    throw new IOException("status " + response.code());
                  }
                  T parsed = Json.parse(response.peekBody(MAX_RESPONSE_BYTES).bytes(), type);
                  listener.onResponse(parsed);
                } catch (IOException | RuntimeException e) {
                  LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                      "fleet: event=bad-answer call=%s cause=%s", request.url(), e);
                  listener.onFailure();
                }
              }
            });
  }

  /** Closes idle connections. */
  void evictConnections() {
    client.connectionPool().evictAll();
  }
}
