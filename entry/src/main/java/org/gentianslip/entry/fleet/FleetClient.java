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
import org.gentianslip.entry.http.Json;

/** Calls other instances, without waiting for them. Safe for use by several threads. */
final class FleetClient {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final MediaType JSON = MediaType.get("application/json");

  /** The time for a call: less than the time after which an instance counts as silent. */
  private static final long TIMEOUT_MILLIS = 900;

  /** The largest answer: a copy of all that is published, with room. */
  private static final int MAX_BYTES = 4 << 20;

  private static final int MAX_PER_INSTANCE = 4;
  private static final int IDLE_CONNECTIONS = 16;
  private static final int IDLE_SECONDS = 5;

  private final OkHttpClient client;

  FleetClient() {
    var dispatcher = new Dispatcher();
    dispatcher.setMaxRequestsPerHost(MAX_PER_INSTANCE);
    client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
            .callTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build();
  }

  /** Takes how a call ended; one of its methods is called. */
  interface Listener<T> {

    /** Takes the answer. */
    void answered(T answer);

    /** Hears that there is none; it is logged already. */
    void failed();
  }

  /** Sends bytes and reads the answer as JSON. */
  <T> void post(String address, String path, byte[] body, Class<T> type, Listener<T> listener) {
    call(request(address, path).post(RequestBody.create(body, JSON)).build(), type, listener);
  }

  /** Reads an answer as JSON. */
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
                listener.failed();
              }

              @Override
              public void onResponse(Call call, Response response) {
                try (response) {
                  if (!response.isSuccessful()) {
                    throw new IOException("status " + response.code());
                  }
                  T answer = Json.parse(response.peekBody(MAX_BYTES).bytes(), type);
                  listener.answered(answer);
                } catch (IOException | RuntimeException e) {
                  LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                      "fleet: event=bad-answer call=%s cause=%s", request.url(), e);
                  listener.failed();
                }
              }
            });
  }

  /** Closes idle connections. */
  void evictConnections() {
    client.connectionPool().evictAll();
  }
}
