package review.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A process of the project, started with the command of the deploy file. */
public final class Instance {

  private final String name;
  private final String zone;
  private final String region;
  private final Path root;
  private final Path folder;
  private final RunLog record;
  private final int[] ports;
  private Process process;

  /** Prepares an instance; {@code folder} is for its settings and its log. */
  public Instance(String name, String zone, String region, Path root, Path folder, RunLog record)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.region = region;
    this.root = root;
    this.folder = folder;
    this.record = record;
    this.ports = freePorts();
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return ports[0];
  }

  /** Returns the address for other instances. */
  public String controlAddress() {
    return "127.0.0.1:" + ports[2];
  }

  /** Returns the operating system's id of the process. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the exit code of a process that has ended. */
  public int exitCode() {
    return process.exitValue();
  }

  /** Writes the settings file; zones are given as lines of TOML. */
  public void writeSettings(String storeAddress, List<String> seeds, String zones)
      throws IOException {
    String quoted = seeds.isEmpty() ? "" : "\"" + String.join("\",\"", seeds) + "\"";
    String text =
        String.format(
            """
            node_name = "%s"
            role = "entry"
            machine_class = "front"
            serves = ["front","control","directory"]
            ip = "127.0.0.1"
            zone = "%s"
            region = "%s"
            port_range = [%d,%d]
            seeds = [%s]
            bootstrap = true
            in_tolerance = false
            discovery = "platform"
            entry = "directory"
            heartbeat_ms = 1200
            [zones]
            %s
            [listen]
            front = "127.0.0.1:%d"
            ready = "127.0.0.1:%d"
            control = "127.0.0.1:%d"
            directory = "127.0.0.1:%d"
            [limits]
            cpu_share = 0.75
            cores = 1
            memory_mb = 430
            max_fds = 4100
            link_mbps = 1000.0
            disk_mb = 0
            [bounds]
            seed_lag_s = 3
            reuse_delay_s = 2
            contact_ms = 5000
            ack_ms = 6000
            sync_s = 4
            drain_ms = 3000
            grace_s = 8
            loss_slack_ms = 200
            apply_ms = 3000
            downgrade_ms = 250
            max_skew_ms = 8000
            budget_ratio = 0.2
            budget_window_s = 10
            budget_extra = 54
            cold_ratio = 1.5
            cold_slack = 3
            evac_ms = 5000
            recovery_s = 12
            pass_ms = 600
            retry_after_s = 10
            ttl_max_s = 5
            [platform]
            address = "%s"
            form = "read"
            writes_per_s = 400
            reads_per_s = 2000
            history_s = 20
            value_bytes = 1048576
            ttl_min_ms = 1000
            """,
            name,
            zone,
            region,
            ports[4],
            ports[4] + 1,
            quoted,
            zones,
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            storeAddress);
    Files.writeString(settingsFile(), text);
  }

  private Path settingsFile() {
    return folder.resolve(name + ".toml");
  }

  /** Starts the process with the command of the deploy file. */
  public void start() throws IOException {
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        command.addAll(List.of(words.split(" ")));
        break;
      }
    }
    var builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
    builder.environment().put("GENTIANSLIP_NODE_FILE", settingsFile().toString());
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    record.add("instance %s: starts as process %d", name, process.pid());
  }

  /** Sends a signal to the process, such as HUP. */
  public void signal(String signal) throws IOException, InterruptedException {
    record.add("instance %s: gets SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Deletes the folder with the settings and the logs. */
  public static void deleteFolder(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  /** Kills the process and waits for its end. */
  public void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }

  /** Waits until the instance says that it is ready; returns whether it did. */
  public boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() - end < 0) {
      try (var socket = new Socket("127.0.0.1", ports[1])) {
        socket
            .getOutputStream()
            .write("GET /gentianslip/readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
        Http.Message answer = Http.read(socket.getInputStream());
        if (answer != null && answer.status() == 200) {
          record.add("instance %s: is ready", name);
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(20);
    }
    return false;
  }

  private static int[] freePorts() throws IOException {
    while (true) {
      int[] ports = new int[5];
      List<ServerSocket> sockets = new ArrayList<>();
      try {
        for (int i = 0; i < ports.length; i++) {
          var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
          sockets.add(socket);
          ports[i] = socket.getLocalPort();
        }
        sockets.add(new ServerSocket(ports[4] + 1, 1, InetAddress.getByName("127.0.0.1")));
        return ports;
      } catch (IOException e) {
        // The next port is in use; others are tried.
      } finally {
        for (ServerSocket s : sockets) {
          s.close();
        }
      }
    }
  }
}
