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
 * A running fleet of processes on the loopback interface.
 *
 * <p>Every process that it started has ended once {@link #close} returns, also when this virtual
 * machine ends. Safe for use by several threads.
 */
public final class Fleet implements AutoCloseable {

  /** The key of the operators of a fleet's instances. */
  public static final String OPERATOR_KEY = "demo-operator-key";

  /** The number of bytes of each link that can be looked at later. */
  public static final int CAPTURE_BYTES = 4 * 1024 * 1024;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long READY_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final long POLL_MILLIS = 50;
  private static final Headers OPERATOR = Headers.of("X-Operator-Key", OPERATOR_KEY);

  private final FleetLayout layout;
  private final ProcessStarter starter;
  private final Path directory;
  private final HttpControl control = new HttpControl();
  private final Map<String, ChildProcess> processes = new ConcurrentHashMap<>();
  private final Set<String> leaving = ConcurrentHashMap.newKeySet();
  private final AtomicLong listVersion = new AtomicLong(1);
  private final Thread closer = new Thread(this::killAll, "fleet-closer");

  private Fleet(FleetLayout layout, ProcessStarter starter, Path directory) {
    this.layout = layout;
    this.starter = starter;
    this.directory = directory;
  }

  /**
   * Starts a fleet and waits until all of its instances serve.
   *
   * @throws IOException if a process cannot be started or does not serve in time
   */
  public static Fleet start(FleetPlan plan) throws IOException {
    FleetLayout layout = FleetLayout.of(plan);
    Path directory = Files.createTempDirectory("gentian-fleet");
    ProcessStarter starter = new ProcessStarter(layout, Distribution.find(), directory);
    Fleet fleet = new Fleet(layout, starter, directory);
    Runtime.getRuntime().addShutdownHook(fleet.closer);
    try {
      fleet.startAll();
      return fleet;
    } catch (IOException | RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  /** Returns the processes and ports. */
  public FleetLayout layout() {
    return layout;
  }

  /** Returns the config service's address, as {@code IP:PORT}. */
  public String configAddress() {
    return FleetLayout.LOOPBACK + ":" + layout.configPort();
  }

  /**
   * Returns an entry instance.
   *
   * @throws IllegalArgumentException if there is none of that id
   */
  public EntryNode entry(String id) {
    return layout.entries().stream()
        .filter(entry -> entry.id().value().equals(id))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("there is no entry \"" + id + "\""));
  }

  /**
   * Returns a backend server.
   *
   * @throws IllegalArgumentException if there is none of that id
   */
  public BackendNode backend(String id) {
    return layout.backends().stream()
        .filter(backend -> backend.id().equals(id))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("there is no backend \"" + id + "\""));
  }

  /**
   * Returns the process of an entry instance, a backend server, {@code config} or {@code relay}.
   *
   * @throws IllegalArgumentException if there is none of that name
   */
  public ChildProcess process(String name) {
    ChildProcess process = processes.get(name);
    if (process == null) {
      throw new IllegalArgumentException("there is no process \"" + name + "\"");
    }
    return process;
  }

  /**
   * Starts an entry instance anew at its old addresses and waits until it serves.
   *
   * @throws IOException if it does not serve in time
   */
  public void replaceEntry(String id) throws IOException {
    process(id).kill();
    startEntry(entry(id));
    awaitReady(entry(id));
  }

  /**
   * Starts an entry instance anew at its old addresses without waiting.
   *
   * @throws IOException if it cannot be started
   */
  public void startEntry(EntryNode entry) throws IOException {
    processes.put(entry.id().value(), starter.entry(entry));
  }

  /**
   * Starts the graceful shutdown of an entry instance.
   *
   * @throws IOException if the instance does not accept it
   */
  public void drain(String id) throws IOException {
    String address = entry(id).operatorAddress();
    control.send("POST", address, "/drain", OPERATOR, JSON.createObjectNode());
  }

  /**
   * Tells a backend server that it is leaving; the published lists stay as they are.
   *
   * @throws IOException if the backend server does not answer
   */
  public void markLeaving(String backend) throws IOException {
    ObjectNode body = JSON.createObjectNode().put("leaving", true);
    control.send("POST", backend(backend).address(), "/admin/leaving", Headers.EMPTY, body);
  }

  /**
   * Publishes lists in which an instance or backend server is leaving.
   *
   * @throws IOException if the config service does not answer
   */
  public void publishLeaving(String id) throws IOException {
    leaving.add(id);
    listVersion.incrementAndGet();
    publishLists();
  }

  /**
   * Does something to the links between two regions, as {@code cut} or {@code heal}.
   *
   * @throws IOException if the relay does not answer
   */
  public void link(String first, String second, String action) throws IOException {
    ObjectNode body = JSON.createObjectNode();
    body.put("link", first + "/" + second).put("action", action);
    String relay = FleetLayout.LOOPBACK + ":" + layout.relayPort();
    control.send("POST", relay, "/admin/links", Headers.EMPTY, body);
  }

  /**
   * Does something to all links of a region, as {@code cut} or {@code heal}.
   *
   * @throws IOException if the relay does not answer
   */
  public void linksOf(String region, String action) throws IOException {
    for (RegionPlan other : layout.plan().regions()) {
      if (!other.id().value().equals(region)) {
        link(region, other.id().value(), action);
      }
    }
  }

  /**
   * Returns the first bytes that crossed the link between two regions, a character each.
   *
   * @throws IOException if the relay does not answer
   */
  public String captured(String first, String second) throws IOException {
    String relay = FleetLayout.LOOPBACK + ":" + layout.relayPort();
    return control.latin1(relay, "/admin/capture?link=" + first + "/" + second);
  }

  /**
   * Gives an order to a stand-in.
   *
   * @param process the stand-in's name
   * @param path the path, as in {@code /admin/fault}
   * @param body the order
   * @throws IOException if the stand-in does not accept it
   */
  public String order(String process, String path, Map<String, ?> body) throws IOException {
    String address =
        process.equals(ProcessStarter.CONFIG) ? configAddress() : backend(process).address();
    return control.send("POST", address, path, Headers.EMPTY, JSON.valueToTree(body));
  }

  /**
   * Publishes settings that consist of the given parts.
   *
   * @throws IOException if the config service does not accept them
   */
  public void publishSettings(List<? extends JsonNode> parts) throws IOException {
    ObjectNode body = JSON.createObjectNode();
    parts.forEach(body.putArray("parts")::add);
    control.send("POST", configAddress(), "/admin/settings", Headers.EMPTY, body);
  }

  /**
   * Returns the revision of the settings that the config service answers with.
   *
   * @throws IOException if the config service does not answer
   */
  public long publishedRevision() throws IOException {
    return control
        .json(configAddress(), "/v1/values/settings/manifest", Headers.EMPTY)
        .path("revision")
        .asLong();
  }

  /**
   * Returns what the services of all regions executed.
   *
   * @throws IOException if a service does not answer
   */
  public List<Execution> executions() throws IOException {
    List<Execution> all = new ArrayList<>();
    for (BackendNode backend : layout.backends()) {
      if (backend.model()) {
        continue;
      }
      JsonNode root = control.json(backend.address(), "/executions", Headers.EMPTY);
      for (JsonNode node : root.path("executions")) {
        all.add(
            new Execution(
                backend.id(),
                node.path("callId").asText(),
                node.path("path").asText(),
                node.path("bodyDigest").asText()));
      }
    }
    return all;
  }

  /**
   * Reads a stand-in's figures.
   *
   * @throws IOException if the backend server does not answer
   */
  public JsonNode stats(String backend) throws IOException {
    return control.json(backend(backend).address(), "/admin/stats", Headers.EMPTY);
  }

  /**
   * Reads a JSON document from an instance's operator port, as {@code /status}.
   *
   * @throws IOException if the instance does not answer
   */
  public JsonNode operator(String entry, String path) throws IOException {
    return control.json(entry(entry).operatorAddress(), path, OPERATOR);
  }

  /**
   * Returns the sum of all series of a metric that an instance offers.
   *
   * @throws IOException if the instance does not answer
   */
  public double metric(String entry, String name) throws IOException {
    String text = control.text(entry(entry).operatorAddress(), "/metrics", Headers.EMPTY);
    return text.lines()
        .filter(line -> line.startsWith(name + "{") || line.startsWith(name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  /**
   * Returns the number of calls that the config service has admitted from readers.
   *
   * @throws IOException if the config service does not answer
   */
  public long configCalls() throws IOException {
    return control.json(configAddress(), "/admin/calls", Headers.EMPTY).path("admitted").asLong();
  }

  /** Tells whether an entry instance says that it serves. */
  public boolean isReady(String entry) {
    return control.status(entry(entry).operatorAddress(), "/ready") == 200;
  }

  @Override
  public void close() {
    killAll();
    try {
      Runtime.getRuntime().removeShutdownHook(closer);
    } catch (IllegalStateException e) {
      logger.atFine().log("fleet: closed while the virtual machine ends");
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
    Path example = starter.settings();
    publishSettings(List.of(JSON.readTree(example.toFile())));
    for (EntryNode entry : layout.entries()) {
      startEntry(entry);
    }
    for (EntryNode entry : layout.entries()) {
      awaitReady(entry);
    }
    logger.atInfo().log("fleet: %d processes serve", processes.size());
  }

  private void publishLists() throws IOException {
    long version = listVersion.get();
    publish("directory", Publication.directory(layout, version, leaving));
    for (RegionPlan region : layout.plan().regions()) {
      publish(
          "instances/" + region.id(), Publication.instances(layout, region.id(), version, leaving));
    }
  }

  private void publish(String key, ObjectNode value) throws IOException {
    control.send("PUT", configAddress(), "/admin/values/" + key, Headers.EMPTY, value);
  }

  private void awaitStandins() throws IOException {
    await(ProcessStarter.CONFIG, () -> control.status(configAddress(), "/admin/calls") == 200);
    if (!layout.routes().isEmpty()) {
      String relay = FleetLayout.LOOPBACK + ":" + layout.relayPort();
      await(ProcessStarter.RELAY, () -> control.status(relay, "/admin/links") == 200);
    }
    for (BackendNode backend : layout.backends()) {
      await(backend.id(), () -> control.status(backend.address(), "/admin/stats") == 200);
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
        throw new IOException(name + " ended early:\n" + process.outputTail());
      }
      if (System.nanoTime() - startNanos > READY_NANOS) {
        throw new IOException(name + " does not serve in time:\n" + process.outputTail());
      }
      pause();
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("the start was interrupted", e);
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
      logger.atWarning().log("fleet: cannot delete %s", directory);
    }
  }

  /** Tells whether something has come about. */
  @FunctionalInterface
  private interface Condition {
    boolean holds();
  }
}
