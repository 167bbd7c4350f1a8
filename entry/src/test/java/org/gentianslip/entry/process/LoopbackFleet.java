package org.gentianslip.entry.process;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.entry.http.Sha256;
import org.gentianslip.standin.config.ConfigOptions;
import org.gentianslip.standin.config.ConfigStandin;
import org.gentianslip.standin.engine.EngineOptions;
import org.gentianslip.standin.engine.EngineStandin;
import org.gentianslip.standin.port.FreePorts;
import org.gentianslip.standin.relay.RelayOptions;
import org.gentianslip.standin.relay.RelayRoute;
import org.gentianslip.standin.relay.RelayStandin;

/**
 * Runs instances and engines of the regions north and south in this process.
 *
 * <p>Hellos and forwarded requests between the regions pass through a relay that captures them. The
 * customer {@code free} may be served in any region, the customer {@code bound} only in the south.
 * Not safe for use by several threads.
 */
final class LoopbackFleet implements AutoCloseable {

  static final String NORTH = "north";
  static final String SOUTH = "south";
  static final String OPERATOR_KEY = "operator-key";
  static final String PEER_KEY = "peer-key";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int CAPTURE_BYTES = 4 << 20;
  private static final int PORTS_PER_INSTANCE = 3;

  final ConfigStandin config = ConfigStandin.start(ConfigOptions.defaults());
  final RelayStandin relay;
  final Map<String, EngineStandin> engines = new LinkedHashMap<>();
  final Map<String, EntryProcess> entries = new LinkedHashMap<>();
  final Map<String, EntryConfig> configs = new LinkedHashMap<>();
  private final Map<String, String> engineStates = new LinkedHashMap<>();
  private final Map<String, Integer> relayPorts = new LinkedHashMap<>();
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
          .readTimeout(TIMEOUT)
          .build();
  private int listVersion;

  /**
   * The response to a request.
   *
   * @param status the status code
   * @param outcome the header {@code X-Outcome}, or null
   * @param servedRegion the header {@code X-Served-Region}, or null
   * @param requestId the header {@code X-Request-Id}, or null
   * @param body the body
   */
  record HttpResult(
      int status, String outcome, String servedRegion, String requestId, String body) {}

  private LoopbackFleet(int instancesPerRegion, int slots) {
    List<RelayRoute> routes = new ArrayList<>();
    for (String region : List.of(NORTH, SOUTH)) {
      engines.put(region, EngineStandin.start(engineOptions(region, slots)));
      engineStates.put(region, "live");
      for (int i = 0; i < instancesPerRegion; i++) {
        EntryConfig config = config(region, i);
        configs.put(config.instance().value(), config);
        routes.add(RelayRoute.toLocalPort(config.peerPort(), "any/" + region));
      }
    }
    relay =
        RelayStandin.start(
            RelayOptions.of(routes.toArray(RelayRoute[]::new)).withCaptureBytes(CAPTURE_BYTES));
    int index = 0;
    for (String id : configs.keySet()) {
      relayPorts.put(id, relay.routePort(index++));
    }
    publishInstanceList();
  }

  /** Starts a fleet and waits until all of its instances are ready. */
  static LoopbackFleet start(int instancesPerRegion, int slots) {
    var fleet = new LoopbackFleet(instancesPerRegion, slots);
    fleet.publishSettings(Map.of());
    fleet.configs.keySet().forEach(fleet::startEntry);
    fleet.awaitReady();
    return fleet;
  }

  private static EngineOptions engineOptions(String region, int slots) {
    return EngineOptions.builder("engine-" + region)
        .region(region)
        .models(List.of("m"))
        .slots(slots)
        .build();
  }

  private EntryConfig config(String region, int number) {
    int firstPort = FreePorts.findConsecutive(PORTS_PER_INSTANCE);
    return new EntryConfig(
        InstanceId.of(region + "-" + number),
        RegionId.of(region),
        DataCentreId.of(region + "-1"),
        "127.0.0.1",
        firstPort,
        firstPort + 1,
        firstPort + 2,
        "127.0.0.1:" + config.port(),
        PEER_KEY,
        OPERATOR_KEY);
  }

  /** Starts an instance, or its successor at the same addresses. */
  void startEntry(String id) {
    entries.put(id, EntryProcess.start(configs.get(id)));
  }

  void awaitReady() {
    entries.values().forEach(e -> await().atMost(TIMEOUT).until(e::ready));
  }

  /** Publishes the next revision of the settings with the given values in the root branch. */
  void publishSettings(Map<String, Object> values) {
    config.publishSettings(List.of(settings(values)));
  }

  /** Publishes an instance list in which the engine of a region has the given state. */
  void publishEngineState(String region, String state) {
    engineStates.put(region, state);
    publishInstanceList();
  }

  private void publishInstanceList() {
    listVersion++;
    config.publish("instances/" + NORTH, instanceList(NORTH).toString());
    config.publish("instances/" + SOUTH, instanceList(SOUTH).toString());
  }

  private ObjectNode instanceList(String viewer) {
    ObjectNode root = JSON.createObjectNode().put("version", listVersion);
    ArrayNode listed = root.putArray("entries");
    configs.forEach(
        (id, entryConfig) -> {
          boolean inViewersRegion = entryConfig.region().value().equals(viewer);
          int peerPort = inViewersRegion ? entryConfig.peerPort() : relayPorts.get(id);
          listed
              .addObject()
              .put("id", id)
              .put("region", entryConfig.region().value())
              .put("dataCentre", entryConfig.dataCentre().value())
              .put("callerAddress", "127.0.0.1:" + entryConfig.callerPort())
              .put("peerAddress", "127.0.0.1:" + peerPort)
              .put("operatorAddress", "127.0.0.1:" + entryConfig.operatorPort())
              .put("state", "live");
        });
    ArrayNode backends = root.putArray("backends");
    engines.forEach(
        (region, engine) ->
            backends
                .addObject()
                .put("id", "engine-" + region)
                .put("region", region)
                .put("dataCentre", region + "-1")
                .put("address", "127.0.0.1:" + engine.port())
                .put("type", "model")
                .put("slots", 2)
                .put("state", engineStates.get(region))
                .putArray("models")
                .add("m"));
    return root;
  }

  private static JsonNode settings(Map<String, Object> values) {
    ObjectNode root = JSON.createObjectNode();
    for (String region : List.of(NORTH, SOUTH)) {
      root.withArray("regions")
          .addObject()
          .put("id", region)
          .putArray("dataCentres")
          .add(region + "-1");
    }
    ObjectNode link = root.withArray("links").addObject();
    link.putArray("between").add(NORTH).add(SOUTH);
    link.put("oneWayMillis", 1).put("megabitsPerSecond", 1000);
    root.withArray("models").add("m");
    for (String customer : List.of("free", "bound")) {
      root.withArray("customers")
          .addObject()
          .put("id", customer)
          .put("firm", "firm")
          .put("keySha256", Sha256.hex(customer + "-key"));
    }
    ArrayNode branches = root.withArray("branches");
    ObjectNode firm = branches.addObject().put("id", "firm").put("level", "firm");
    firm.put("name", "firm").set("values", JSON.valueToTree(values));
    branches
        .addObject()
        .put("id", "firm.ask")
        .put("parent", "firm")
        .put("level", "kind")
        .put("name", "ask")
        .putObject("values");
    branches
        .addObject()
        .put("id", "firm.bound")
        .put("parent", "firm")
        .put("level", "customer")
        .put("name", "bound")
        .putObject("values")
        .putArray("allowedRegions")
        .add(SOUTH);
    return root;
  }

  /** Sends a model request to an instance. */
  HttpResult ask(String entry, String customer, String prompt) throws IOException {
    ObjectNode body = JSON.createObjectNode().put("model", "m").put("prompt", prompt);
    body.put("max_tokens", 3);
    return call(
        new Request.Builder()
            .url("http://127.0.0.1:" + configs.get(entry).callerPort() + "/v1/completions")
            .header("Authorization", "Bearer " + customer + "-key")
            .header("X-Kind", "ask")
            .post(RequestBody.create(body.toString(), MediaType.get("application/json")))
            .build());
  }

  /** Returns a page of an instance's operator port. */
  String operatorPage(String entry, String path) throws IOException {
    return call(new Request.Builder()
            .url("http://127.0.0.1:" + configs.get(entry).operatorPort() + path)
            .header("X-Operator-Key", OPERATOR_KEY)
            .build())
        .body();
  }

  /** Returns the settings revision in force at an instance. */
  long revisionAt(String entry) throws IOException {
    return JSON.readTree(operatorPage(entry, "/status")).path("settingsRevision").asLong();
  }

  /** Sends a request. */
  HttpResult call(Request request) throws IOException {
    try (var response = client.newCall(request).execute()) {
      return new HttpResult(
          response.code(),
          response.header("X-Outcome"),
          response.header("X-Served-Region"),
          response.header("X-Request-Id"),
          response.body().string());
    }
  }

  @Override
  public void close() {
    entries.values().forEach(EntryProcess::close);
    engines.values().forEach(EngineStandin::close);
    relay.close();
    config.close();
  }
}
