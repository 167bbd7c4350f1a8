import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * An engine falls silent for good while streams run there, and an engine of another service gets
 * its address. Looks for requests that this one has run though no client sent them.
 */
public final class ReusedAddress {

  private static final long CONTACT_MILLIS = 5_000;

  /** The time after which an address may be used again: the site's {@code reuse_delay_s}. */
  private static final long REUSE_MILLIS = 2_000;

  /** Three heartbeats, after which the entry of a silent engine is removed. */
  private static final long LEASE_MILLIS = 3_600;

  private static final int REQUESTS = 8;
  private static final int EVENTS = 30;
  private static final long EVENT_MILLIS = 100;

  private ReusedAddress() {}

  /**
   * Runs the case.
   *
   * @param args the folder of the case
   */
  public static void main(String[] args) throws Exception {
    Cases.run(args[0], ReusedAddress::run);
  }

  private static int run(Path folder, Record record, boolean trouble)
      throws IOException, InterruptedException {
    Engine.Loss none = (run, count) -> -1;
    try (var store = new Store("127.0.1.9");
        var first = new Engine("i-graz-1", "127.0.4.1", EVENTS, EVENT_MILLIS, record, none);
        var second = new Engine("i-graz-2", "127.0.4.2", EVENTS, EVENT_MILLIS, record, none);
        var graz = new Instance("front-graz-a-1", "127.0.3.1", "graz-a", "graz");
        var graz2 = new Instance("front-graz-a-2", "127.0.3.2", "graz-a", "graz")) {
      store.put("op/config", config());
      store.put("servers/" + first.id(), first.entry("pool", "graz-a", 64));
      store.put("servers/" + second.id(), second.entry("pool", "graz-a", 64));
      List<String> seeds = List.of(graz.controlAddress(), graz2.controlAddress());
      graz.start(folder, Map.of("graz-a", "graz"), seeds, store.address());
      graz2.start(folder, Map.of("graz-a", "graz"), seeds, store.address());
      if (!graz.awaitReady(20_000) || !graz2.awaitReady(20_000)) {
        record.line("the instances did not become ready");
        return Cases.NOT_RUN;
      }
      Thread.sleep(CONTACT_MILLIS + 1_000);
      Set<String> sent = new HashSet<>();
      List<Thread> threads = sendAll(graz, record, sent);
      Thread.sleep(800);
      List<Engine.Run> runs = new ArrayList<>(first.runs());
      if (runs.isEmpty() || second.runs().isEmpty()) {
        record.line("an engine has no stream");
        return Cases.NOT_RUN;
      }
      if (trouble) {
        first.fallSilent();
        Thread.sleep(REUSE_MILLIS);
        try (Engine desk = first.replaceByPlainService("i-desk-1")) {
          store.put("servers/" + desk.id(), desk.entry("desk", "graz-a", 6));
          Thread.sleep(LEASE_MILLIS - REUSE_MILLIS);
          store.remove("servers/" + first.id());
          join(threads);
          runs.addAll(desk.runs());
        }
      } else {
        join(threads);
      }
      runs.addAll(second.runs());
      return graz.isAlive() && graz2.isAlive() ? judge(record, sent, runs) : Cases.NOT_RUN;
    }
  }

  private static List<Thread> sendAll(Instance to, Record record, Set<String> sent)
      throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = String.format(Locale.ROOT, "request%04d", i);
      // Long prompts, of which each engine holds four.
      String request =
          "POST /report/1 HTTP/1.1\r\nHost: ledger.example\r\nGentianslip-Request-Id: "
              + id
              + "\r\nGentianslip-Deadline-Ms: 10000\r\nGentianslip-Model: m"
              + "\r\nGentianslip-Token-Count: 38720,80\r\nGentianslip-Prompt-Prefix: "
              + String.format(Locale.ROOT, "%08x:35000,%08x:3720", 1_000 + i, 5_000 + i)
              + "\r\nContent-Length: 4\r\n\r\nbody";
      sent.add(id);
      var thread = new Thread(() -> Client.send(to, record, request, id), "client");
      thread.start();
      threads.add(thread);
      Thread.sleep(60);
    }
    return threads;
  }

  private static void join(List<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private static int judge(Record record, Set<String> sent, List<Engine.Run> runs) {
    int broken = 0;
    for (Engine.Run run : runs) {
      if (!sent.contains(run.id)) {
        broken++;
        record.line("UNASKED: %s ran %s %s, which no client sent", run.engine, run.id, run.path);
      }
    }
    record.line("%d runs, %d of them of requests that no client sent", runs.size(), broken);
    return broken > 0 ? 1 : 0;
  }

  private static String config() {
    return """
        {"version":7,"routes":[{"name":"r-report","host":"ledger.example","prefix":"/report/",
        "kind":"streaming","timeout_ms":10000,"goal_ms":1000,"priority":0,"service":"pool",
        "attempts":2,"sticky":true,"resumable":true,"gap_goal_ms":600,"home_regions":[]},
        {"name":"r-look","host":"ledger.example","prefix":"/look/","kind":"safe",
        "timeout_ms":3000,"goal_ms":400,"priority":2,"service":"desk","attempts":2}],
        "services":[{"name":"pool","health_path":"/healthz","max_conns":360,"protocol":"h1",
        "tls":false,"cold_start_s":3.0,"cold_per_s":7.2,"engine":{"slots":64,
        "kv_capacity":352495,"kv_token_bytes":327680,"link_mbps":150000.0,"moves":true,
        "backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
        "models":[{"name":"m"}]}},{"name":"desk","health_path":"/healthz","max_conns":100,
        "protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
        "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}
        """;
  }
}
