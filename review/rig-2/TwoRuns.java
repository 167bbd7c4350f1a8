import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An engine runs some streams and their answers are lost: it resets the connection and works on.
 * The streams may be resumed. Looks for one that goes on at another engine while the engine before
 * still works on it.
 *
 * <p>Clients ask the instance of the engines' region, or one of another region, which forwards.
 */
public final class TwoRuns {

  private static final String HOST = "ledger.example";

  /** For how long after the first run goes on elsewhere the one before must have ended. */
  private static final long ALLOWED_MILLIS = 400;

  /** The time in which answers are lost, and the largest part of them: the site file's dose. */
  private static final long LOSS_MILLIS = 4_000;

  private static final double LOSS_SHARE = 0.4;

  private static final long CONTACT_MILLIS = 5_000;
  private static final int REQUESTS = 20;
  private static final long GAP_MILLIS = 250;
  private static final int EVENTS = 20;
  private static final long EVENT_MILLIS = 100;

  private TwoRuns() {}

  /**
   * Runs the case.
   *
   * @param args the folder of the case; the region whose instance clients ask, {@code wien} or
   *     {@code graz}; and the number of events before an answer is lost
   */
  public static void main(String[] args) throws Exception {
    boolean direct = args[1].equals("graz");
    int eventsBefore = Integer.parseInt(args[2]);
    Cases.run(
        args[0], (folder, record, trouble) -> run(folder, record, trouble, direct, eventsBefore));
  }

  private static int run(
      Path folder, Record record, boolean trouble, boolean direct, int eventsBefore)
      throws IOException, InterruptedException {
    Map<String, String> zones = new TreeMap<>(Map.of("graz-a", "graz", "wien-a", "wien"));
    var loss = new LossWindow(record, trouble, eventsBefore);
    try (var store = new Store("127.0.1.9");
        var first = new Engine("i-graz-1", "127.0.4.1", EVENTS, EVENT_MILLIS, record, loss);
        var second =
            new Engine("i-graz-2", "127.0.4.2", EVENTS, EVENT_MILLIS, record, (r, n) -> -1);
        var wien = new Instance("front-wien-a-1", "127.0.2.1", "wien-a", "wien");
        var graz = new Instance("front-graz-a-1", "127.0.3.1", "graz-a", "graz");
        var other = new Instance("front-graz-a-2", "127.0.3.2", "graz-a", "graz")) {
      store.put("op/config", config());
      store.put("servers/" + first.id(), first.entry("pool", "graz-a", 64));
      store.put("servers/" + second.id(), second.entry("pool", "graz-a", 64));
      List<String> seeds =
          List.of(wien.controlAddress(), graz.controlAddress(), other.controlAddress());
      wien.start(folder, zones, seeds, store.address());
      graz.start(folder, zones, seeds, store.address());
      other.start(folder, zones, seeds, store.address());
      if (!wien.awaitReady(20_000) || !graz.awaitReady(20_000) || !other.awaitReady(20_000)) {
        record.line("the instances did not become ready");
        return Cases.NOT_RUN;
      }
      // All machines are in touch from here on.
      Thread.sleep(CONTACT_MILLIS + 1_000);
      sendAll(direct ? graz : wien, record);
      List<Engine.Run> runs = new ArrayList<>(first.runs());
      runs.addAll(second.runs());
      if (!wien.isAlive() || !graz.isAlive() || !other.isAlive() || runs.size() < REQUESTS) {
        record.line("the case could not run: %d runs", runs.size());
        return Cases.NOT_RUN;
      }
      return judge(record, runs);
    }
  }

  private static void sendAll(Instance to, Record record) throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = String.format(Locale.ROOT, "request%04d", i);
      // The prompts share no part, so that both engines get some of them.
      String request =
          "POST /report/1 HTTP/1.1\r\nHost: "
              + HOST
              + "\r\nGentianslip-Request-Id: "
              + id
              + "\r\nGentianslip-Deadline-Ms: 10000\r\nGentianslip-Model: m"
              + "\r\nGentianslip-Token-Count: 300,80\r\nGentianslip-Prompt-Prefix: "
              + String.format(Locale.ROOT, "%08x:200,%08x:100", 1_000 + i, 5_000 + i)
              + "\r\nContent-Length: 4\r\n\r\nbody";
      var thread = new Thread(() -> Client.send(to, record, request, id), "client");
      thread.start();
      threads.add(thread);
      Thread.sleep(GAP_MILLIS);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    // Runs whose answers were lost may go on until their regular end.
    Thread.sleep(EVENTS * EVENT_MILLIS);
  }

  private static int judge(Record record, List<Engine.Run> runs) {
    int broken = 0;
    for (Engine.Run before : runs) {
      for (Engine.Run next : runs) {
        boolean moved =
            before.id.equals(next.id)
                && !before.engine.equals(next.engine)
                && before.startMillis < next.startMillis;
        if (moved && before.endMillis - next.startMillis > ALLOWED_MILLIS) {
          broken++;
          record.line(
              "TWICE: %s goes on at %s at %d ms, %s works on it until %d ms",
              before.id, next.engine, next.startMillis, before.engine, before.endMillis);
        }
      }
    }
    record.line("%d requests went on at another engine while the one before worked on", broken);
    return broken > 0 ? 1 : 0;
  }

  private static String config() {
    return """
        {"version":7,"routes":[{"name":"r-report","host":"ledger.example","prefix":"/report/",
        "kind":"streaming","timeout_ms":10000,"goal_ms":1000,"priority":0,"service":"pool",
        "attempts":2,"sticky":true,"resumable":true,"gap_goal_ms":600,"home_regions":[]}],
        "services":[{"name":"pool","health_path":"/healthz","max_conns":360,"protocol":"h1",
        "tls":false,"cold_start_s":3.0,"cold_per_s":7.2,"engine":{"slots":64,
        "kv_capacity":352495,"kv_token_bytes":327680,"link_mbps":150000.0,"moves":true,
        "backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
        "models":[{"name":"m"}]}}],
        "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}
        """;
  }

  /** Loses answers for some seconds, at most a part of those of the engine. */
  private static final class LossWindow implements Engine.Loss {

    private final Record record;
    private final boolean trouble;
    private final int eventsBefore;
    private long firstMillis = -1;
    private int ran;
    private int lost;

    LossWindow(Record record, boolean trouble, int eventsBefore) {
      this.record = record;
      this.trouble = trouble;
      this.eventsBefore = eventsBefore;
    }

    @Override
    public synchronized int eventsBeforeReset(Engine.Run run, int runsSoFar) {
      if (firstMillis < 0) {
        firstMillis = record.millis();
      }
      ran++;
      // The answer is lost within the time, as the first events take a part of it.
      long left = LOSS_MILLIS - (eventsBefore + 1) * EVENT_MILLIS - 100;
      boolean inTime = record.millis() - firstMillis < left;
      if (!trouble || !inTime || lost + 1 > LOSS_SHARE * ran) {
        return -1;
      }
      lost++;
      return eventsBefore;
    }
  }
}
