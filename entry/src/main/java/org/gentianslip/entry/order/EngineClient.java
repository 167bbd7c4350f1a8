package org.gentianslip.entry.order;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.core.order.EngineOrder;
import org.gentianslip.core.order.Fence;
import org.gentianslip.core.order.ObservedEngineState;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.Json;

/**
 * Reads the state of engines and sends orders to them, each order at most once.
 *
 * <p>Safe for use by several threads.
 */
final class EngineClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final long MAX_STATE_BYTES = 64 * 1024;

  private final OkHttpClient client;

  EngineClient(OkHttpClient client, Duration timeout) {
    this.client =
        client
            .newBuilder()
            .callTimeout(timeout)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .addNetworkInterceptor(new OrderSendInterceptor())
            .build();
  }

  /**
   * Reads the state of an engine.
   *
   * @throws IOException if the engine gives no valid response
   */
  ObservedEngineState readState(BackendRecord engine) throws IOException {
    long sentNanos = System.nanoTime();
    var request = request(engine).build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException("The engine responded with status " + response.code());
      }
      var state = Json.parse(response.peekBody(MAX_STATE_BYTES).bytes());
      return observedState(state, engine.checksFencing(), sentNanos);
    } catch (IllegalArgumentException e) {
      throw new IOException("The state of the engine is not valid", e);
    }
  }

  /**
   * Sends an order once.
   *
   * @param mayWrite is asked immediately before the order is written
   * @return the status code of the response
   * @throws IOException if there is no response; the engine may have accepted the order
   */
  int send(BackendRecord engine, EngineOrder order, BooleanSupplier mayWrite) throws IOException {
    var body = Json.object();
    body.put("type", order.type().text()).put("target", order.target());
    body.putArray("fence").add(order.fence().listVersion()).add(order.fence().place());
    var request =
        request(engine)
            .post(RequestBody.create(Json.bytes(body), JSON))
            .tag(BooleanSupplier.class, mayWrite)
            .build();
    try (Response response = client.newCall(request).execute()) {
      return response.code();
    }
  }

  private static ObservedEngineState observedState(
      JsonNode state, boolean checksFencing, long sentNanos) {
    Set<String> models = new HashSet<>();
    state.path("models").forEach(m -> models.add(m.asText()));
    state.path("loading").forEach(m -> models.add(m.asText()));
    Set<String> adapters = new HashSet<>();
    state.path("adapters").forEach(a -> adapters.add(a.asText()));
    var fence = state.path("fence");
    return new ObservedEngineState(
        models,
        adapters,
        state.path("version").asText(),
        state.path("role").asText(),
        new Fence(fence.path(0).asLong(), fence.path(1).asInt()),
        checksFencing,
        sentNanos);
  }

  /** Names the engine, as another one may have its address. */
  private static Request.Builder request(BackendRecord engine) {
    return new Request.Builder()
        .url("http://" + engine.address() + "/orders")
        .header(HeaderNames.ENGINE, engine.id());
  }
}
