package org.gentianslip.demo.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Headers;

/**
 * A fleet of running processes on the loopback interface.
 *
 * <p>{@link #close} ends every process that the fleet started; a shutdown hook does the same if the
 * Java virtual machine exits first. Thread-safe.
 */
public final class Fleet implements AutoCloseable {

  /** The operator key of the instances of a fleet. */
  public static final String OPERATOR_KEY = "demo-operator-key";

  /** The number of bytes of each link that the relay captures. */
  public static final int CAPTURE_BYTES = 4 * 1024 * 1024;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final long POLL_MILLIS = 50;
  private static final Headers OPERATOR_HEADERS = Headers.of("X-Operator-Key", OPERATOR_KEY);

  private final FleetLayout layout;
  private final ProcessStarter starter;
  private final Path directory;
  private final HttpControlClient client = new HttpControlClient();
  private final Map<String, ChildProcess> processes = new ConcurrentHashMap<>();
  private final Set<String> leavingIds = ConcurrentHashMap.newKeySet();
  private final AtomicLong listVersion = new AtomicLong(1);
  private final Thread shutdownHook = new Thread(this::killAll, "fleet-closer");

  private Fleet(FleetLayout layout, ProcessStarter starter, Path directory) {
    this.layout = layout;
    this.starter = starter;
    this.directory = directory;
  }

  /**
   * Starts a fleet and waits until all of its instances are ready.
   *
   * @throws IOException if a process cannot be started or is not ready in time
   */
  public static Fleet start(FleetPlan plan) throws IOException {
    FleetLayout layout = FleetLayout.of(plan);
    Path directory = Files.createTempDirectory("gentian-fleet");
    ProcessStarter starter = new ProcessStarter(layout, Distribution.find(), directory);
    Fleet fleet = new Fleet(layout, starter, directory);
    Runtime.getRuntime().addShutdownHook(fleet.shutdownHook);
    try {
      fleet.startAll();
      return fleet;
    } catch (IOException | RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  /** Returns the layout of the processes and ports. */
  public FleetLayout layout() {
    return layout;
  }

  /** Returns the address of the config service, as {@code IP:PORT}. */
  public String configAddress() {
    return FleetLayout.LOOPBACK + ":" + layout.configPort();
  }

  /**
   * Returns the entry instance with the given id.
   *
   * @throws IllegalArgumentException if there is none of that id
   */
  public EntryNode entry(String id) {
    return layout.entries().stream()
        .filter(entry -> entry.id().value().equals(id))
        .findFirst()
        .orElseThrow(
            () -> new IllegalArgumentException("there is no entry instance \"" + id + "\""));
  }

  /**
   * Returns the backend server with the given id.
   *
   * @throws IllegalArgumentException if there is none of that id
   */
  public BackendNode backend(String id) {
    return layout.backends().stream()
        .filter(backend -> backend.id().equals(id))
        .findFirst()
        .orElseThrow(
            () -> new IllegalArgumentException("there is no backend server \"" + id + "\""));
  }

  /**
   * Returns the process of an entry instance, a backend server, {@code config} or {@code relay}.
   *
   * @throws IllegalArgumentException if there is no process of that name
   */
  public ChildProcess process(String name) {
    ChildProcess process = processes.get(name);
    if (process == null) {
      throw new IllegalArgumentException("there is no process \"" + name + "\"");
    }
    return process;
  }

  /**
   * Kills an entry instance, starts it again at the same addresses and waits until it is ready.
   *
   * @throws IOException if it is not ready in time
   */
  public void restartEntry(String id) throws IOException {
    process(id).kill();
    startEntry(entry(id));
    awaitReady(entry(id));
  }

  /**
   * Starts an entry instance at its addresses without waiting until it is ready.
   *
   * @throws IOException if it cannot be started
   */
  public void startEntry(EntryNode entry) throws IOException {
    processes.put(entry.id().value(), starter.entry(entry));
  }

  /**
   * Starts the graceful shutdown of an entry instance.
   *
   * @throws IOException if the instance does not accept the request
   */
  public void drain(String id) throws IOException {
    String address = entry(id).operatorAddress();
    client.send("POST", address, "/drain", OPERATOR_HEADERS, JSON.createObjectNode());
  }

  /**
   * Marks a backend server as leaving in its own reports; the published lists do not change.
   *
   * @throws IOException if the backend server does not answer
   */
  public void markLeaving(String backend) throws IOException {
    ObjectNode body = JSON.createObjectNode().put("leaving", true);
    client.send("POST", backend(backend).address(), "/admin/leaving", Headers.EMPTY, body);
  }

  /**
   * Publishes lists in which an instance or a backend server is marked as leaving.
   *
   * @throws IOException if the config service does not answer
   */
  public void publishLeaving(String id) throws IOException {
    leavingIds.add(id);
    listVersion.incrementAndGet();
    publishLists();
  }

  /**
   * Applies an action of the relay, such as {@code cut} or {@code heal}, to the link between two
   * regions.
   *
   * @throws IOException if the relay does not answer
   */
  public void applyLinkAction(String first, String second, String action) throws IOException {
    ObjectNode body = JSON.createObjectNode();
    body.put("link", first + "/" + second).put("action", action);
    String relay = FleetLayout.LOOPBACK + ":" + layout.relayPort();
    client.send("POST", relay, "/admin/links", Headers.EMPTY, body);
  }

  /**
   * Applies an action of the relay, such as {@code cut} or {@code heal}, to all links of a region.
   *
   * @throws IOException if the relay does not answer
   */
  public void applyLinkActionToRegion(String region, String action) throws IOException {
    for (RegionPlan other : layout.plan().regions()) {
      if (!other.id().value().equals(region)) {
        applyLinkAction(region, other.id().value(), action);
      }
    }
  }

  /**
   * Returns the captured bytes of the link between two regions, up to {@link #CAPTURE_BYTES}, as
   * one character each.
   *
   * @throws IOException if the relay does not answer
   */
  public String capturedBytes(String first, String second) throws IOException {
    String relay = FleetLayout.LOOPBACK + ":" + layout.relayPort();
    return client.latin1(relay, "/admin/capture?link=" + first + "/" + second);
  }

  /**
   * Sends an administrative request to a stand-in and returns the body of its response.
   *
   * @param process the name of the process of the stand-in
   * @param path the path, such as {@code /admin/fault}
   * @param body the members of the JSON body
   * @throws IOException if the stand-in does not accept the request
   */
  public String sendAdminRequest(String process, String path, Map<String, ?> body)
      throws IOException {
    String address =
        process.equals(ProcessStarter.CONFIG) ? configAddress() : backend(process).address();
    return client.send("POST", address, path, Headers.EMPTY, JSON.valueToTree(body));
  }

  /**
   * Publishes settings that consist of the given parts.
   *
   * @throws IOException if the config service does not accept them
   */
  public void publishSettings(List<? extends JsonNode> parts) throws IOException {
    ObjectNode body = JSON.createObjectNode();
    parts.forEach(body.putArray("parts")::add);
    client.send("POST", configAddress(), "/admin/settings", Headers.EMPTY, body);
  }

  /**
   * Returns the revision of the settings that the config service serves.
   *
   * @throws IOException if the config service does not answer
   */
  public long publishedRevision() throws IOException {
    return client
        .json(configAddress(), "/v1/values/settings/manifest", Headers.EMPTY)
        .path("revision")
        .asLong();
  }

  /**
   * Returns the executions by the services of all regions.
   *
   * @throws IOException if a service does not answer
   */
  public List<ServiceExecution> executions() throws IOException {
    List<ServiceExecution> all = new ArrayList<>();
    for (BackendNode backend : layout.backends()) {
      if (backend.modelEngine()) {
        continue;
      }
      JsonNode response = client.json(backend.address(), "/executions", Headers.EMPTY);
      for (JsonNode node : response.path("executions")) {
        all.add(
            new ServiceExecution(
                backend.id(),
                node.path("callId").asText(),
                node.path("path").asText(),
                node.path("bodyDigest").asText()));
      }
    }
    return all;
  }

  /**
   * Returns the statistics of the stand-in for a backend server.
   *
   * @throws IOException if the backend server does not answer
   */
  public JsonNode statistics(String backend) throws IOException {
    return client.json(backend(backend).address(), "/admin/stats", Headers.EMPTY);
  }

  /**
   * Returns a JSON document from the operator port of an instance, such as {@code /status}.
   *
   * @throws IOException if the instance does not answer
   */
  public JsonNode operatorJson(String entry, String path) throws IOException {
    return client.json(entry(entry).operatorAddress(), path, OPERATOR_HEADERS);
  }

  /**
   * Returns the sum of all series of a metric that an instance exports.
   *
   * @throws IOException if the instance does not answer
   */
  public double metricSum(String entry, String name) throws IOException {
    String text = client.text(entry(entry).operatorAddress(), "/metrics", Headers.EMPTY);
    return text.lines()
        .filter(line -> line.startsWith(name + "{") || line.startsWith(name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  /**
   * Returns the number of calls from readers that the config service has admitted.
   *
   * @throws IOException if the config service does not answer
   */
  public long configCalls() throws IOException {
    return client.json(configAddress(), "/admin/calls", Headers.EMPTY).path("admitted").asLong();
  }

  /** Returns whether an entry instance reports that it is ready. */
  public boolean isReady(String entry) {
    return client.status(entry(entry).operatorAddress(), "/ready") == 200;
  }

  @Override
  public void close() {
    killAll();
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException e) {
      logger.atFine().log("fleet: closed while the Java virtual machine is shutting down");
    }
    deleteFiles();
  }

  private void startAll() throws IOException {
    processes.put(ProcessStarter.CONFIG, starter.config());
    if (!layout.routes().isEmpty()) {
      processes.put(ProcessStarter.RELAY, starter.relay());
    }
    for (BackendNode backend : layout.backends()) {
      processes.put(backend.id(), starter.backend(backend));
    }
    awaitStandins();
    publishLists();
    Path example = starter.exampleSettings();
    publishSettings(List.of(JSON.readTree(example.toFile())));
    for (EntryNode entry : layout.entries()) {
      startEntry(entry);
    }
    for (EntryNode entry : layout.entries()) {
      awaitReady(entry);
    }
    logger.atInfo().log("fleet: %d processes are ready", processes.size());
  }

  private void publishLists() throws IOException {
    long version = listVersion.get();
    publish("directory", PublishedLists.directory(layout, version, leavingIds));
    for (RegionPlan region : layout.plan().regions()) {
      publish(
          "instances/" + region.id(),
          PublishedLists.instances(layout, region.id(), version, leavingIds));
    }
  }

  private void publish(String key, ObjectNode value) throws IOException {
    client.send("PUT", configAddress(), "/admin/values/" + key, Headers.EMPTY, value);
  }

  private void awaitStandins() throws IOException {
    await(ProcessStarter.CONFIG, () -> client.status(configAddress(), "/admin/calls") == 200);
    if (!layout.routes().isEmpty()) {
      String relay = FleetLayout.LOOPBACK + ":" + layout.relayPort();
      await(ProcessStarter.RELAY, () -> client.status(relay, "/admin/links") == 200);
    }
    for (BackendNode backend : layout.backends()) {
      await(backend.id(), () -> client.status(backend.address(), "/admin/stats") == 200);
    }
  }

  private void awaitReady(EntryNode entry) throws IOException {
    await(entry.id().value(), () -> isReady(entry.id().value()));
  }

  private void await(String name, Condition condition) throws IOException {
    long startNanos = System.nanoTime();
    ChildProcess process = process(name);
    while (!condition.holds()) {
      if (!process.isAlive()) {
        throw new IOException(name + " ended before it was ready:\n" + process.outputTail());
      }
      if (System.nanoTime() - startNanos > READY_TIMEOUT_NANOS) {
        throw new IOException(name + " was not ready in time:\n" + process.outputTail());
      }
      sleep();
    }
  }

  private static void sleep() throws IOException {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("the start of the fleet was interrupted", e);
    }
  }

  private void killAll() {
    processes.values().forEach(ChildProcess::kill);
  }

  private void deleteFiles() {
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(directory);
    } catch (IOException | UncheckedIOException e) {
      logger.atWarning().log("fleet: cannot delete the directory %s", directory);
    }
  }

  /** A condition to wait for. */
  @FunctionalInterface
  private interface Condition {
    boolean holds();
  }
}
