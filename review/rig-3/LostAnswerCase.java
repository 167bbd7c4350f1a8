import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Engines run requests of a resumable route and lose the answers of some. Checks that no request
 * goes on at another engine while the engine before still works on it 400 ms later.
 */
public final class LostAnswerCase {

  private static final int ENGINES = 4;
  private static final int LOSING = 2;
  private static final double LOST_SHARE = 0.4;
  private static final long LOSS_MILLIS = 4_000;
  private static final long SEND_MILLIS = 125;
  private static final long OVERLAP_MILLIS = 400;
  private static final long PREFILL_MILLIS = 150;
  private static final long GAP_MILLIS = 60;
  private static final int EVENTS = 25;

  private LostAnswerCase() {}

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
    Node.Ports ports = Node.freePorts();
    List<EngineStandin> engines = new ArrayList<>();
    try (StoreStandin store = new StoreStandin()) {
      store.put("op/config", config());
      for (int i = 1; i <= ENGINES; i++) {
        engines.add(
            new EngineStandin(
                "i-" + i,
                "pool",
                "graz-a",
                store,
                journal,
                PREFILL_MILLIS,
                GAP_MILLIS,
                EVENTS));
      }
      String settings =
          Node.settings(
              "front-graz-a-1",
              "graz-a",
              "graz-a = \"graz\"",
              ports,
              List.of(ports.control()),
              store.address());
      try (Node node = new Node(repository, folder, "front-graz-a-1", ports, settings)) {
        node.start();
        if (!node.awaitReady(30_000)) {
          journal.line("the instance is not ready after 30 s");
          return 2;
        }
        journal.line("the instance is ready");
        // The engines count as known only after some seconds, as after any start.
        Thread.sleep(6_000);
        ExecutorService callers = Executors.newCachedThreadPool();
        load(journal, callers, ports, "calm", LOSS_MILLIS / 2);
        if (trouble) {
          // Those that are in use: idle engines have no answers to lose.
          engines.sort(Comparator.comparing((EngineStandin e) -> -e.runs().size()));
          for (EngineStandin engine : engines.subList(0, LOSING)) {
            engine.setLosesAnswer(new EveryShare(LOST_SHARE)::next);
            journal.line("%s loses the answers of %s of its requests", engine.id(), LOST_SHARE);
          }
        }
        load(journal, callers, ports, "loss", LOSS_MILLIS);
        engines.forEach(e -> e.setLosesAnswer(r -> false));
        journal.line("no more answers are lost");
        callers.shutdown();
        callers.awaitTermination(15, TimeUnit.SECONDS);
      }
      return judge(journal, engines);
    }
  }

  private static String config() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-report\",\"host\":\"ficu95.example\","
        + "\"prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":10000,\"goal_ms\":1000,"
        + "\"priority\":0,\"service\":\"pool\",\"attempts\":2,\"sticky\":true,\"resumable\":true,"
        + "\"gap_goal_ms\":600,\"home_regions\":[]}],\"services\":[{\"name\":\"pool\","
        + "\"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,"
        + "\"cold_start_s\":3.0,\"cold_per_s\":7.2,\"engine\":{\"slots\":64,"
        + "\"kv_capacity\":352495,\"kv_token_bytes\":327680,\"link_mbps\":150000.0,"
        + "\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,"
        + "\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
        + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  /** Tells of some of a sequence of requests, at even distances, that their answer is lost. */
  private static final class EveryShare {
    private final double share;
    private double sum;

    EveryShare(double share) {
      this.share = share;
    }

    synchronized boolean next(String request) {
      sum += share;
      if (sum < 1) {
        return false;
      }
      sum -= 1;
      return true;
    }
  }

  private static void load(
      Journal journal, ExecutorService callers, Node.Ports ports, String prefix, long millis)
      throws InterruptedException {
    for (int i = 0; i < millis / SEND_MILLIS; i++) {
      String id = prefix + "-" + i;
      callers.execute(() -> call(journal, ports, id));
      Thread.sleep(SEND_MILLIS);
    }
  }

  private static void call(Journal journal, Node.Ports ports, String id) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.front())) {
      socket.setSoTimeout(11_000);
      String head =
          "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nGentianslip-Request-Id: "
              + id
              + "\r\nGentianslip-Model: m\r\nGentianslip-Token-Count: 400,100\r\n"
              + "Gentianslip-Prompt-Prefix: "
              + Integer.toHexString(id.hashCode())
              + ":400\r\nGentianslip-Deadline-Ms: 10000\r\nContent-Length: 5\r\n\r\nhello";
      journal.line("client sends %s", id);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      HttpMessage answer = HttpMessage.read(in);
      if (answer == null) {
        journal.line("client: the connection of %s ends without an answer", id);
        return;
      }
      String body = new String(answer.body(), StandardCharsets.UTF_8);
      journal.line(
          "client gets %d to %s, %d events, %s, from %s",
          answer.status(),
          id,
          body.split("data: ", -1).length - 1,
          answer.complete() ? "complete" : "broken off",
          answer.header("Gentianslip-Server-Stamp"));
    } catch (IOException e) {
      journal.line("client: %s fails: %s", id, e);
    }
  }

  private static int judge(Journal journal, List<EngineStandin> engines) {
    List<EngineStandin.Run> runs = new ArrayList<>();
    engines.forEach(e -> runs.addAll(e.runs()));
    int broken = 0;
    for (EngineStandin.Run first : runs) {
      for (EngineStandin.Run next : runs) {
        boolean later =
            next.request.equals(first.request)
                && !next.engine.equals(first.engine)
                && next.startMillis >= first.startMillis;
        if (later && first.lastsAt(next.startMillis + OVERLAP_MILLIS)) {
          broken++;
          journal.line(
              "TWICE: %s goes on at %s at %d ms, while %s works on it from %d to %d ms",
              first.request,
              next.engine,
              next.startMillis,
              first.engine,
              first.startMillis,
              first.endMillis);
        }
      }
    }
    journal.line("%d runs, %d requests run twice at once", runs.size(), broken);
    if (runs.isEmpty()) {
      return 2;
    }
    return broken > 0 ? 1 : 0;
  }
}
