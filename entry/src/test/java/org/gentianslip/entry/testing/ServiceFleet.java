package org.gentianslip.entry.testing;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.entry.http.Sha256;
import org.gentianslip.entry.process.EntryPlace;
import org.gentianslip.entry.process.EntryProcess;
import org.gentianslip.standin.config.ConfigOptions;
import org.gentianslip.standin.config.ConfigStandin;
import org.gentianslip.standin.port.FreePorts;
import org.gentianslip.standin.service.ServiceOptions;
import org.gentianslip.standin.service.ServiceStandin;

/** Runs instances of one region before one service, all in this process. Not thread-safe. */
public final class ServiceFleet implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String KEY = "shop-key";
  private static final Duration PATIENCE = Duration.ofSeconds(20);
  private static final int PORTS_OF_INSTANCE = 3;

  /** The service. */
  public final ServiceStandin service =
      ServiceStandin.start(ServiceOptions.of("booking-1", "booking"));

  /** The relay before the service. */
  public final CutRelay relay;

  /** The config service. */
  public final ConfigStandin config;

  private final List<EntryProcess> entries = new ArrayList<>();
  private final List<EntryPlace> places = new ArrayList<>();
  private final AtomicLong calls = new AtomicLong();
  private final OkHttpClient client =
      new OkHttpClient.Builder().retryOnConnectionFailure(false).readTimeout(PATIENCE).build();

  /**
   * Tells what a caller was told.
   *
   * @param status the status code
   * @param outcome the header {@code X-Outcome}
   * @param ticket the header {@code X-Ticket}, or null
   */
  public record Told(int status, String outcome, String ticket) {}

  /**
   * Starts a fleet and waits until all of its instances serve.
   *
   * @param size the number of instances
   * @param deadlineMillis the time that a call may take, in milliseconds
   */
  public ServiceFleet(int size, int deadlineMillis) throws IOException {
    relay = new CutRelay(service.port());
    config = ConfigStandin.start(ConfigOptions.defaults());
    int ports = FreePorts.findConsecutive(size * PORTS_OF_INSTANCE);
    for (int i = 0; i < size; i++) {
      places.add(place("e" + i, ports + i * PORTS_OF_INSTANCE));
    }
    config.put("instances/home", list().toString());
    config.publishSettings(List.of(settings(deadlineMillis)));
    places.forEach(p -> entries.add(EntryProcess.start(p)));
    entries.forEach(e -> await().atMost(PATIENCE).until(e::ready));
  }

  /** Returns the id of a call that was not made before. */
  public String newCall() {
    return "call-" + calls.incrementAndGet();
  }

  /** Makes a call through an instance, with a ticket or null. */
  public Told call(int entry, String callId, String ticket) throws IOException {
    var builder =
        new Request.Builder()
            .url("http://127.0.0.1:" + places.get(entry).callerPort() + "/services/booking/slots")
            .header("Authorization", "Bearer " + KEY)
            .header("X-Kind", "book")
            .header("X-Call-Id", callId)
            .post(RequestBody.create("{\"slot\": 9}", MediaType.get("application/json")));
    if (ticket != null) {
      builder.header("X-Ticket", ticket);
    }
    try (Response r = client.newCall(builder.build()).execute()) {
      r.body().bytes();
      return new Told(r.code(), r.header("X-Outcome"), r.header("X-Ticket"));
    }
  }

  /** Makes a call as {@link #call} does; a failure to reach the instance is unchecked. */
  public Told callUnchecked(int entry, String callId, String ticket) {
    try {
      return call(entry, callId, ticket);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns how often the service executed a call. */
  public long executions(String callId) {
    return service.executions().stream().filter(e -> e.callId().equals(callId)).count();
  }

  /** Ends an instance at once and starts its successor at the same addresses. */
  public void replace(int entry) {
    replaceWithoutWaiting(entry);
    await().atMost(PATIENCE).until(() -> isReady(entry));
  }

  /** Ends an instance at once and starts its successor, which may not serve yet. */
  public void replaceWithoutWaiting(int entry) {
    entries.get(entry).close();
    client.connectionPool().evictAll();
    entries.set(entry, EntryProcess.start(places.get(entry)));
  }

  /** Returns whether an instance serves. */
  public boolean isReady(int entry) {
    return entries.get(entry).ready();
  }

  /** Returns what an instance tells its operators of itself. */
  public JsonNode status(int entry) throws IOException {
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + places.get(entry).operatorPort() + "/status")
            .header("X-Operator-Key", "operator-key")
            .build();
    try (Response r = client.newCall(request).execute()) {
      return JSON.readTree(r.body().bytes());
    }
  }

  /** Waits until an instance has a revision of the settings in force. */
  public void awaitRevision(int entry, long revision) {
    await()
        .atMost(PATIENCE)
        .until(() -> status(entry).path("settingsRevision").asLong() == revision);
  }

  @Override
  public void close() throws IOException {
    entries.forEach(EntryProcess::close);
    relay.close();
    service.close();
    config.close();
  }

  private EntryPlace place(String id, int ports) {
    return new EntryPlace(
        InstanceId.of(id),
        RegionId.of("home"),
        DataCentreId.of("home-1"),
        "127.0.0.1",
        ports,
        ports + 1,
        ports + 2,
        "127.0.0.1:" + config.port(),
        "peer-key",
        "operator-key");
  }

  private ObjectNode list() {
    ObjectNode root = JSON.createObjectNode().put("version", 1);
    ArrayNode listed = root.putArray("entries");
    for (EntryPlace p : places) {
      listed
          .addObject()
          .put("id", p.instance().value())
          .put("region", "home")
          .put("dataCentre", "home-1")
          .put("callerAddress", "127.0.0.1:" + p.callerPort())
          .put("peerAddress", "127.0.0.1:" + p.peerPort())
          .put("operatorAddress", "127.0.0.1:" + p.operatorPort())
          .put("state", "live");
    }
    root.putArray("backends")
        .addObject()
        .put("id", "booking-1")
        .put("region", "home")
        .put("dataCentre", "home-1")
        .put("address", "127.0.0.1:" + relay.port())
        .put("type", "service")
        .put("service", "booking")
        .put("state", "live");
    return root;
  }

  /** Returns settings with a time that a call may take, in milliseconds. */
  public static JsonNode settings(int deadlineMillis) throws IOException {
    String text =
        """
        {"regions": [{"id": "home", "dataCentres": ["home-1"]}],
         "models": ["m"],
         "services": [{"id": "booking", "idempotentPaths": ["/slots/search"]}],
         "customers": [{"id": "shop", "firm": "firm", "keySha256": "%s"}],
         "branches": [
           {"id": "firm", "level": "firm", "name": "firm",
            "values": {"deadlineMillis": %d, "firstTokenTargetMillis": 100}},
           {"id": "firm.book", "parent": "firm", "level": "kind", "name": "book", "values": {}}]}
        """;
    String hash = Sha256.hex(KEY.getBytes(StandardCharsets.UTF_8));
    return JSON.readTree(text.formatted(hash, deadlineMillis));
  }
}
