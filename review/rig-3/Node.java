import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One instance, started as a process of its own by the run line of the deploy file. */
final class Node implements AutoCloseable {

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"$");

  /** Ends a process, the second argument, once another one, the first argument, is gone. */
  private static final String WATCH =
      "while kill -0 $1 2>/dev/null && kill -0 $2 2>/dev/null; do sleep 0.2; done;"
          + " kill -0 $1 2>/dev/null || kill -9 $2 2>/dev/null";

  /** The ports of an instance on its address. */
  record Ports(int first, int front, int ready, int control, int directory) {}

  private final Path repository;
  private final Path folder;
  private final String name;
  private final String settings;
  private final Ports ports;
  private Process process;
  private int starts;

  Node(Path repository, Path folder, String name, Ports ports, String settings) {
    this.repository = repository;
    this.folder = folder;
    this.name = name;
    this.ports = ports;
    this.settings = settings;
  }

  /** Returns ports that are free now; the first two follow each other. */
  static Ports freePorts() throws IOException {
    for (int tries = 0; tries < 100; tries++) {
      List<ServerSocket> open = new ArrayList<>();
      try {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        for (int i = 0; i < 4; i++) {
          open.add(new ServerSocket(0, 1, loopback));
        }
        ServerSocket first = new ServerSocket(0, 1, loopback);
        open.add(first);
        open.add(new ServerSocket(first.getLocalPort() + 1, 1, loopback));
        return new Ports(
            first.getLocalPort(),
            open.get(0).getLocalPort(),
            open.get(1).getLocalPort(),
            open.get(2).getLocalPort(),
            open.get(3).getLocalPort());
      } catch (IOException | IllegalArgumentException e) {
        // The next port is taken; try others.
      } finally {
        for (ServerSocket s : open) {
          s.close();
        }
      }
    }
    throw new IOException("no free ports");
  }

  /** Returns a settings file like that of a small deployment. */
  static String settings(
      String name,
      String zone,
      String zones,
      Ports ports,
      List<Integer> seedPorts,
      String storeAddress) {
    StringBuilder seeds = new StringBuilder();
    seedPorts.forEach(
        p -> seeds.append(seeds.length() == 0 ? "" : ",").append("\"127.0.0.1:" + p + "\""));
    return String.join(
        "\n",
        "node_name = \"" + name + "\"",
        "role = \"entry\"",
        "machine_class = \"front\"",
        "serves = [\"front\",\"control\",\"directory\"]",
        "ip = \"127.0.0.1\"",
        "zone = \"" + zone + "\"",
        "region = \"" + zone.substring(0, zone.indexOf('-')) + "\"",
        "port_range = [" + ports.first() + "," + (ports.first() + 1) + "]",
        "seeds = [" + seeds + "]",
        "bootstrap = true",
        "in_tolerance = false",
        "discovery = \"platform\"",
        "entry = \"directory\"",
        "heartbeat_ms = 1200",
        "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
            + "\"stream\",\"places\",\"platform\"]",
        "[zones]",
        zones,
        "[listen]",
        "front = \"127.0.0.1:" + ports.front() + "\"",
        "ready = \"127.0.0.1:" + ports.ready() + "\"",
        "control = \"127.0.0.1:" + ports.control() + "\"",
        "directory = \"127.0.0.1:" + ports.directory() + "\"",
        "[limits]",
        "cpu_share = 0.75",
        "cores = 1",
        "memory_mb = 430",
        "max_fds = 4100",
        "link_mbps = 1000.0",
        "disk_mb = 0",
        "[fault_tolerance]",
        "machines = 2",
        "zones = 1",
        "regions = 1",
        "[bounds]",
        "seed_lag_s = 3",
        "reuse_delay_s = 2",
        "contact_ms = 5000",
        "ack_ms = 6000",
        "sync_s = 4",
        "drain_ms = 3000",
        "grace_s = 8",
        "loss_slack_ms = 200",
        "apply_ms = 3000",
        "downgrade_ms = 250",
        "max_skew_ms = 8000",
        "budget_ratio = 0.2",
        "budget_window_s = 10",
        "budget_extra = 54",
        "cold_ratio = 1.5",
        "cold_slack = 3",
        "evac_ms = 5000",
        "recovery_s = 12",
        "pass_ms = 600",
        "retry_after_s = 10",
        "ttl_max_s = 5",
        "[platform]",
        "address = \"" + storeAddress + "\"",
        "form = \"read\"",
        "writes_per_s = 400",
        "reads_per_s = 2000",
        "history_s = 20",
        "value_bytes = 1048576",
        "ttl_min_ms = 1000",
        "");
  }

  void start() throws IOException {
    Path file = folder.resolve(name + ".toml");
    Files.writeString(file, settings);
    Matcher run = RUN.matcher(Files.readString(repository.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run line in the deploy file");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(repository.toFile());
    builder.environment().put("GENTIANSLIP_NODE_FILE", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(name + "-" + ++starts + ".log").toFile());
    Process started = builder.start();
    process = started;
    watch(started);
    try {
      // Ends the instance also if the case itself is ended.
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    } catch (IllegalStateException e) {
      // The case is being ended already.
      started.destroyForcibly();
    }
  }

  /** Starts a process that ends an instance by its id if this process is killed. */
  private static void watch(Process started) throws IOException {
    String own = Long.toString(ProcessHandle.current().pid());
    new ProcessBuilder("setsid", "sh", "-c", WATCH, "watch", own, Long.toString(started.pid()))
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start();
  }

  Process process() {
    return process;
  }

  String name() {
    return name;
  }

  Ports ports() {
    return ports;
  }

  /** Returns whether the instance says within a time that it is ready. */
  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (end - System.nanoTime() > 0) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  boolean isReady() {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.ready())) {
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write("GET /gentianslip/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
      HttpMessage answer = HttpMessage.readHead(socket.getInputStream());
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
