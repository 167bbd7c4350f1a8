import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store cuts watches that wait. Checks that no request reaches an engine later than {@code
 * drain_ms} after its entry was removed.
 */
public final class CutWatchCase {

  private static final int ENGINES = 8;
  private static final int LEAVING = 6;
  private static final int MACHINES = 1;
  private static final long CUT_MILLIS = 1_000;

  /** The cuts in a row after which an engine leaves. */
  private static final int CUTS = 4;

  private static final long DRAIN_MILLIS = 3_000;
  private static final long CONTACT_MILLIS = 5_000;
  private static final long LEAVE_EVERY_MILLIS = 4_500;
  private static final long SEND_MILLIS = 12;

  private CutWatchCase() {}

  /** Arguments: the repository, and the file to write the record to. */
  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path repository = Path.of(args[0]).toAbsolutePath().normalize();
    Path folder = Files.createTempDirectory("review-");
    int result = 2;
    try (Journal journal = new Journal(Path.of(args[1]))) {
      result = run(repository, folder, journal, trouble);
    } finally {
      System.exit(result);
    }
  }

  private static int run(Path repository, Path folder, Journal journal, boolean trouble)
      throws Exception {
    List<EngineStandin> engines = new ArrayList<>();
    List<Node> nodes = new ArrayList<>();
    try (StoreStandin store = new StoreStandin()) {
      store.put("op/config", config());
      for (int i = 1; i <= ENGINES; i++) {
        engines.add(new EngineStandin("i-" + i, "desk", "graz-a", store, journal, 30));
      }
      List<Node.Ports> ports = new ArrayList<>();
      List<Integer> seeds = new ArrayList<>();
      for (int i = 0; i < MACHINES; i++) {
        ports.add(Node.freePorts());
        seeds.add(ports.get(i).control());
      }
      for (int i = 0; i < MACHINES; i++) {
        String name = "front-graz-a-" + (i + 1);
        String settings =
            Node.settings(
                name, "graz-a", "graz-a = \"graz\"", ports.get(i), seeds, store.address());
        Node node = new Node(repository, folder, name, ports.get(i), settings);
        nodes.add(node);
        node.start();
      }
      for (Node node : nodes) {
        if (!node.awaitReady(30_000)) {
          journal.line("%s is not ready after 30 s", node.name());
          return 2;
        }
      }
      journal.line("all instances are ready");
      Map<String, Long> removed = new HashMap<>();
      AtomicBoolean ended = new AtomicBoolean();
      Thread load = new Thread(() -> load(journal, ports, ended));
      load.start();
      if (trouble) {
        store.cutWatchesAfter(CUT_MILLIS);
        journal.line("the store cuts each watch that has waited for %d ms", CUT_MILLIS);
      }
      Thread.sleep(CONTACT_MILLIS + 1_000);
      for (int i = 0; i < LEAVING; i++) {
        if (trouble && !store.awaitCuts(CUTS, 20_000)) {
          journal.line("no watch is cut");
          return 2;
        }
        EngineStandin engine = mostUsed(journal, engines, removed);
        engine.leave();
        removed.put(engine.id(), journal.millis());
        Thread.sleep(LEAVE_EVERY_MILLIS);
      }
      ended.set(true);
      load.join();
      return judge(journal, engines, removed);
    } finally {
      nodes.forEach(Node::close);
    }
  }

  /** Returns the engine that got the most requests in the last second. */
  private static EngineStandin mostUsed(
      Journal journal, List<EngineStandin> engines, Map<String, Long> removed) {
    long since = journal.millis() - 1_000;
    return engines.stream()
        .filter(e -> !removed.containsKey(e.id()))
        .max(
            Comparator.comparing(
                e -> e.runs().stream().filter(r -> r.startMillis >= since).count()))
        .orElseThrow();
  }

  private static String config() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-lookup\",\"host\":\"ficu95.example\","
        + "\"prefix\":\"/puxa403/\",\"kind\":\"safe\",\"timeout_ms\":3000,\"goal_ms\":400,"
        + "\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"home_regions\":[]}],"
        + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":100,"
        + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
        + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  private static void load(Journal journal, List<Node.Ports> ports, AtomicBoolean ended) {
    ExecutorService callers = Executors.newFixedThreadPool(24);
    AtomicInteger number = new AtomicInteger();
    while (!ended.get()) {
      int n = number.incrementAndGet();
      callers.execute(() -> call(journal, ports.get(n % ports.size()), "q-" + n));
      try {
        Thread.sleep(SEND_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
    callers.shutdown();
  }

  private static void call(Journal journal, Node.Ports ports, String id) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.front())) {
      socket.setSoTimeout(7_000);
      String head =
          "GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nGentianslip-Request-Id: "
              + id
              + "\r\nGentianslip-Deadline-Ms: 6000\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer = HttpMessage.read(socket.getInputStream());
      journal.line(
          "client gets %s to %s", answer == null ? "no answer" : answer.status(), id);
    } catch (IOException e) {
      journal.line("client: %s fails: %s", id, e);
    }
  }

  private static int judge(
      Journal journal, List<EngineStandin> engines, Map<String, Long> removed) {
    int late = 0;
    int runs = 0;
    for (EngineStandin engine : engines) {
      runs += engine.runs().size();
      Long at = removed.get(engine.id());
      if (at == null) {
        continue;
      }
      int ofEngine = 0;
      long last = 0;
      for (EngineStandin.Run run : engine.runs()) {
        if (run.startMillis > at) {
          last = Math.max(last, run.startMillis - at);
        }
        if (run.startMillis > at + DRAIN_MILLIS) {
          ofEngine++;
        }
      }
      late += ofEngine;
      journal.line(
          "%s, removed at %d ms: the last request came %d ms later, %d after %d ms",
          engine.id(), at, last, ofEngine, DRAIN_MILLIS);
    }
    journal.line("%d runs, %d requests too late", runs, late);
    if (runs == 0) {
      return 2;
    }
    return late > 0 ? 1 : 0;
  }
}
