import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, started with the command of the deploy file. */
final class Instance implements AutoCloseable {

  /** The ports for traffic between instances are one of some ranges, below those of clients. */
  private static final int RANGE_PORTS = 16;

  private static final int FIRST_RANGE = 16_000;
  private static final int RANGES = 500;

  /** Ends a process, the second argument, once another one, the first argument, was killed. */
  private static final String WATCH =
      "while kill -0 $1 2>/dev/null && kill -0 $2 2>/dev/null; do sleep 0.2; done;"
          + " kill -0 $1 2>/dev/null || kill -9 $2 2>/dev/null";

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

  private final String name;
  private final String host;
  private final String zone;
  private final String region;
  private final int front;
  private final int ready;
  private final int control;
  private final int directory;
  private final int firstOfRange;
  private Process process;
  private Process watch;

  Instance(String name, String host, String zone, String region) throws IOException {
    this.name = name;
    this.host = host;
    this.zone = zone;
    this.region = region;
    List<Integer> ports = freePorts(host, 4);
    this.front = ports.get(0);
    this.ready = ports.get(1);
    this.control = ports.get(2);
    this.directory = ports.get(3);
    this.firstOfRange = freeRange(host);
  }

  String name() {
    return name;
  }

  String controlAddress() {
    return host + ":" + control;
  }

  /** Returns a new connection to the port for clients. */
  Socket connect() throws IOException {
    var socket = new Socket();
    socket.connect(new InetSocketAddress(host, front), 1_000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static List<Integer> freePorts(String host, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      var socket = new ServerSocket(0, 1, InetAddress.getByName(host));
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private static int freeRange(String host) throws IOException {
    var random = new Random();
    for (int i = 0; i < 200; i++) {
      int first = FIRST_RANGE + RANGE_PORTS * random.nextInt(RANGES);
      try (var one = new ServerSocket(first, 1, InetAddress.getByName(host));
          var two = new ServerSocket(first + 1, 1, InetAddress.getByName(host))) {
        return Math.min(one.getLocalPort(), two.getLocalPort());
      } catch (IOException e) {
        // In use: the next range is tried.
      }
    }
    throw new IOException("No free range of ports at " + host);
  }

  /** Starts the process in the repository root, with its settings in a temporary folder. */
  void start(Path folder, Map<String, String> zones, List<String> seeds, String storeAddress)
      throws IOException {
    Path settings = folder.resolve(name + ".toml");
    Files.writeString(settings, settings(zones, seeds, storeAddress));
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("The deploy file has no run line");
    }
    var builder = new ProcessBuilder(run.group(1).split(" +"));
    builder.environment().put("GENTIANSLIP_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(name + ".log").toFile());
    process = builder.start();
    watch =
        new ProcessBuilder("sh", "-c", WATCH, "watch", pid(ProcessHandle.current()), pid(process))
            .start();
    // Ends the process also if this one is ended by a signal.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  private static String pid(ProcessHandle handle) {
    return Long.toString(handle.pid());
  }

  private static String pid(Process started) {
    return pid(started.toHandle());
  }

  private String settings(Map<String, String> zones, List<String> seeds, String storeAddress) {
    var text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            """
            node_name = "%s"
            role = "entry"
            machine_class = "front"
            serves = ["front","control","directory"]
            ip = "%s"
            zone = "%s"
            region = "%s"
            port_range = [%d,%d]
            seeds = ["%s"]
            bootstrap = true
            in_tolerance = false
            discovery = "platform"
            entry = "directory"
            heartbeat_ms = 1200
            [zones]
            """,
            name,
            host,
            zone,
            region,
            firstOfRange,
            firstOfRange + RANGE_PORTS - 1,
            String.join("\",\"", seeds)));
    zones.forEach((z, r) -> text.append(z).append(" = \"").append(r).append("\"\n"));
    text.append(
        String.format(
            Locale.ROOT,
            """
            [listen]
            front = "%1$s:%2$d"
            ready = "%1$s:%3$d"
            control = "%1$s:%4$d"
            directory = "%1$s:%5$d"
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
            address = "%6$s"
            form = "read"
            reads_per_s = 2000
            history_s = 20
            value_bytes = 1048576
            """,
            host,
            front,
            ready,
            control,
            directory,
            storeAddress));
    return text.toString();
  }

  /** Waits until the process says that it is ready; returns whether it did in time. */
  boolean awaitReady(long maxMillis) throws InterruptedException {
    long endNanos = System.nanoTime() + maxMillis * 1_000_000;
    while (System.nanoTime() - endNanos < 0) {
      try (var socket = new Socket()) {
        socket.connect(new InetSocketAddress(host, ready), 500);
        socket.setSoTimeout(500);
        socket
            .getOutputStream()
            .write(
                "GET /gentianslip/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
        Http.Head head = Http.readHead(socket.getInputStream());
        if (head != null && head.status() == 200) {
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Returns whether the process runs. */
  boolean isAlive() {
    return process != null && process.isAlive();
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
    if (watch != null) {
      watch.destroy();
    }
  }
}
