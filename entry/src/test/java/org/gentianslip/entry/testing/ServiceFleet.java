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
import org.gentianslip.entry.process.EntryConfig;
import org.gentianslip.entry.process.EntryProcess;
import org.gentianslip.standin.config.ConfigOptions;
import org.gentianslip.standin.config.ConfigStandin;
import org.gentianslip.standin.port.FreePorts;
import org.gentianslip.standin.service.ServiceOptions;
import org.gentianslip.standin.service.ServiceStandin;

/**
 * Runs instances of one region and one service in this process. Not safe for use by several
 * threads.
 */
public final class ServiceFleet implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CUSTOMER_KEY = "shop-key";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int PORTS_PER_INSTANCE = 3;

  /** The service. */
  public final ServiceStandin service =
      ServiceStandin.start(ServiceOptions.of("booking-1", "booking"));

  /** The relay between the instances and the service. */
  public final CuttingRelay relay;

  /** The config service. */
  public final ConfigStandin config;

  private final List<EntryProcess> entries = new ArrayList<>();
  private final List<EntryConfig> configs = new ArrayList<>();
  private final AtomicLong calls = new AtomicLong();
  private final OkHttpClient client =
      new OkHttpClient.Builder().retryOnConnectionFailure(false).readTimeout(TIMEOUT).build();

  /**
   * The response that a caller received.
   *
   * @param status the status code
   * @param outcome the header {@code X-Outcome}
   * @param ticket the header {@code X-Ticket}, or null
   */
  public record CallResult(int status, String outcome, String ticket) {}

  /**
   * Starts a fleet and waits until all of its instances are ready.
   *
   * @param size the number of instances
   * @param deadlineMillis the deadline of calls, in milliseconds
   */
  public ServiceFleet(int size, int deadlineMillis) throws IOException {
    relay = new CuttingRelay(service.port());
    config = ConfigStandin.start(ConfigOptions.defaults());
    int firstPort = FreePorts.findConsecutive(size * PORTS_PER_INSTANCE);
    for (int i = 0; i < size; i++) {
      configs.add(config("e" + i, firstPort + i * PORTS_PER_INSTANCE));
    }
    config.publish("instances/home", instanceList().toString());
    config.publishSettings(List.of(settings(deadlineMillis)));
    configs.forEach(entryConfig -> entries.add(EntryProcess.start(entryConfig)));
    entries.forEach(e -> await().atMost(TIMEOUT).until(e::ready));
  }

  /** Returns a new call id. */
  public String newCall() {
    return "call-" + calls.incrementAndGet();
  }

  /**
   * Makes a call through an instance.
   *
   * @param entry the index of the instance
   * @param callId the id of the call
   * @param ticket the ticket to send, or null
   */
  public CallResult call(int entry, String callId, String ticket) throws IOException {
    var builder =
        new Request.Builder()
            .url("http://127.0.0.1:" + configs.get(entry).callerPort() + "/services/booking/slots")
            .header("Authorization", "Bearer " + CUSTOMER_KEY)
            .header("X-Kind", "book")
            .header("X-Call-Id", callId)
            .post(RequestBody.create("{\"slot\": 9}", MediaType.get("application/json")));
    if (ticket != null) {
      builder.header("X-Ticket", ticket);
    }
    try (Response response = client.newCall(builder.build()).execute()) {
      response.body().bytes();
      return new CallResult(
          response.code(), response.header("X-Outcome"), response.header("X-Ticket"));
    }
  }

  /**
   * Makes a call as {@link #call} does, but wraps an {@link IOException} in an {@link
   * UncheckedIOException}.
   */
  public CallResult callUnchecked(int entry, String callId, String ticket) {
    try {
      return call(entry, callId, ticket);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns how many times the service executed a call. */
  public long executions(String callId) {
    return service.executions().stream().filter(e -> e.callId().equals(callId)).count();
  }

  /**
   * Closes an instance at once, starts its successor at the same addresses, and waits until it is
   * ready.
   */
  public void replace(int entry) {
    replaceWithoutWaiting(entry);
    await().atMost(TIMEOUT).until(() -> isReady(entry));
  }

  /**
   * Closes an instance at once and starts its successor at the same addresses, which may not be
   * ready yet.
   */
  public void replaceWithoutWaiting(int entry) {
    entries.get(entry).close();
    client.connectionPool().evictAll();
    entries.set(entry, EntryProcess.start(configs.get(entry)));
  }

  /** Returns whether an instance is ready. */
  public boolean isReady(int entry) {
    return entries.get(entry).ready();
  }

  /** Returns the status that an instance reports to operators. */
  public JsonNode status(int entry) throws IOException {
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + configs.get(entry).operatorPort() + "/status")
            .header("X-Operator-Key", "operator-key")
            .build();
    try (Response response = client.newCall(request).execute()) {
      return JSON.readTree(response.body().bytes());
    }
  }

  /** Waits until an instance has a settings revision in force. */
  public void awaitRevision(int entry, long revision) {
    await()
        .atMost(TIMEOUT)
        .until(() -> status(entry).path("settingsRevision").asLong() == revision);
  }

  @Override
  public void close() throws IOException {
    entries.forEach(EntryProcess::close);
    relay.close();
    service.close();
    config.close();
  }

  private EntryConfig config(String id, int firstPort) {
    return new EntryConfig(
        InstanceId.of(id),
        RegionId.of("home"),
        DataCentreId.of("home-1"),
        "127.0.0.1",
        firstPort,
        firstPort + 1,
        firstPort + 2,
        "127.0.0.1:" + config.port(),
        "peer-key",
        "operator-key");
  }

  private ObjectNode instanceList() {
    ObjectNode root = JSON.createObjectNode().put("version", 1);
    ArrayNode listed = root.putArray("entries");
    for (EntryConfig entryConfig : configs) {
      listed
          .addObject()
          .put("id", entryConfig.instance().value())
          .put("region", "home")
          .put("dataCentre", "home-1")
          .put("callerAddress", "127.0.0.1:" + entryConfig.callerPort())
          .put("peerAddress", "127.0.0.1:" + entryConfig.peerPort())
          .put("operatorAddress", "127.0.0.1:" + entryConfig.operatorPort())
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

  /** Returns settings with the given deadline of calls, in milliseconds. */
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
    String hash = Sha256.hex(CUSTOMER_KEY.getBytes(StandardCharsets.UTF_8));
    return JSON.readTree(text.formatted(hash, deadlineMillis));
  }
}
