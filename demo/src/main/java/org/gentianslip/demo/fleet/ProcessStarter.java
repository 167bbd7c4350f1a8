package org.gentianslip.demo.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes the configuration files of processes and starts the processes.
 *
 * <p>Thread-safe.
 */
final class ProcessStarter {

  static final String CONFIG = "config";
  static final String RELAY = "relay";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String PEER_KEY = "demo-peer-key";
  private static final List<String> STANDIN_OPTIONS =
      List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private final FleetLayout layout;
  private final Distribution distribution;
  private final Path directory;

  ProcessStarter(FleetLayout layout, Distribution distribution, Path directory) {
    this.layout = layout;
    this.distribution = distribution;
    this.directory = directory;
  }

  Path exampleSettings() {
    return distribution.example(layout.plan().name());
  }

  ChildProcess config() throws IOException {
    return startStandin(CONFIG, "config", "--port", Integer.toString(layout.configPort()));
  }

  ChildProcess relay() throws IOException {
    ObjectNode root = JSON.createObjectNode();
    ArrayNode routes = root.putArray("routes");
    for (RelayRoute route : layout.routes()) {
      routes
          .addObject()
          .put("listen", route.listenPort())
          .put("to", FleetLayout.LOOPBACK + ":" + route.targetPort())
          .put("oneWayMillis", layout.plan().oneWayMillis())
          .put("megabitsPerSecond", layout.plan().megabitsPerSecond())
          .put("link", route.from() + "/" + route.to());
    }
    Path file = writeJson("relay.json", root);
    return startStandin(
        RELAY,
        "relay",
        "--port",
        Integer.toString(layout.relayPort()),
        "--config",
        file.toString(),
        "--capture-bytes",
        Integer.toString(Fleet.CAPTURE_BYTES));
  }

  ChildProcess backend(BackendNode backend) throws IOException {
    return backend.modelEngine() ? engine(backend) : service(backend);
  }

  ChildProcess entry(EntryNode entry) throws IOException {
    ObjectNode configuration = JSON.createObjectNode();
    configuration
        .put("instance", entry.id().value())
        .put("region", entry.region().value())
        .put("dataCentre", PublishedLists.dataCentre(entry.region()))
        .put("host", FleetLayout.LOOPBACK)
        .put("callerPort", entry.callerPort())
        .put("peerPort", entry.peerPort())
        .put("operatorPort", entry.operatorPort())
        .put("configService", FleetLayout.LOOPBACK + ":" + layout.configPort())
        .put("peerKey", PEER_KEY)
        .put("operatorKey", Fleet.OPERATOR_KEY);
    Path file = writeJson(entry.id() + ".json", configuration);
    List<String> options = List.of("-Xmx" + layout.plan().entryHeap(), "-XX:+UseSerialGC");
    List<String> command = distribution.command("entry", "gentian-entry", options);
    command.add("--config");
    command.add(file.toString());
    return startProcess(entry.id().value(), command);
  }

  private ChildProcess engine(BackendNode backend) throws IOException {
    EnginePlan engine = layout.plan().engine();
    return startStandin(
        backend.id(),
        "engine",
        "--port",
        Integer.toString(backend.port()),
        "--id",
        backend.id(),
        "--region",
        backend.region().value(),
        "--models",
        String.join(",", layout.plan().models()),
        "--slots",
        Integer.toString(engine.slots()),
        "--queue",
        Integer.toString(engine.queue()),
        "--token-millis",
        Double.toString(engine.tokenMillis()));
  }

  private ChildProcess service(BackendNode backend) throws IOException {
    return startStandin(
        backend.id(),
        "service",
        "--port",
        Integer.toString(backend.port()),
        "--id",
        backend.id(),
        "--service",
        layout.plan().service());
  }

  private ChildProcess startStandin(String name, String... arguments) throws IOException {
    List<String> command =
        new ArrayList<>(distribution.command("standin", "gentian-standin", STANDIN_OPTIONS));
    command.addAll(List.of(arguments));
    return startProcess(name, command);
  }

  private ChildProcess startProcess(String name, List<String> command) throws IOException {
    return ChildProcess.start(name, command, directory.resolve(name + ".log"));
  }

  private Path writeJson(String name, ObjectNode content) throws IOException {
    Path file = directory.resolve(name);
    Files.write(file, JSON.writeValueAsBytes(content));
    return file;
  }
}
