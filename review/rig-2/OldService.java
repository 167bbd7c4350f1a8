import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The operator moves routes to another service while a machine is cut off from the store. Clients
 * ask a machine in touch. Looks for requests that were handled there as only an older version of
 * the configuration allows, after an engine had seen the effect of the later version from there.
 */
public final class OldService {

  private static final String HOST = "ledger.example";
  private static final String OLD = "desk-a";
  private static final String NEW = "desk-b";

  private static final long DOWNGRADE_MILLIS = 250;
  private static final long CONTACT_MILLIS = 5_000;

  /** The length of a cut: the site file's dose. */
  private static final long CUT_MILLIS = 5_500;

  /** The time from the end of a cut to the next one. */
  private static final long CALM_MILLIS = 2_000;

  private static final int CUTS = 3;
  private static final int CHANGES_IN_CUT = 3;
  private static final long CHANGE_GAP_MILLIS = 1_330;
  private static final long GAP_MILLIS = 100;

  private OldService() {}

  /**
   * Runs the case.
   *
   * @param args the folder of the case
   */
  public static void main(String[] args) throws Exception {
    Cases.run(args[0], OldService::run);
  }

  private record Sent(String id, int route, long millis) {}

  private static int run(Path folder, Record record, boolean trouble)
      throws IOException, InterruptedException {
    Map<String, String> zones = new TreeMap<>(Map.of("graz-a", "graz", "wien-a", "wien"));
    Engine.Loss none = (run, count) -> -1;
    try (var store = new Store("127.0.1.9");
        var firstGate = new Gate("127.0.1.7", store.address());
        var secondGate = new Gate("127.0.1.8", store.address());
        var before = new Engine("i-graz-1", "127.0.4.1", 0, 0, record, none);
        var after = new Engine("i-graz-2", "127.0.4.2", 0, 0, record, none);
        var wien = new Instance("front-wien-a-1", "127.0.2.1", "wien-a", "wien");
        var other = new Instance("front-wien-a-2", "127.0.2.2", "wien-a", "wien");
        var graz = new Instance("front-graz-a-1", "127.0.3.1", "graz-a", "graz");
        var graz2 = new Instance("front-graz-a-2", "127.0.3.2", "graz-a", "graz")) {
      store.put("op/config", config(7, 0));
      store.put("servers/" + before.id(), before.entry(OLD, "graz-a", 6));
      store.put("servers/" + after.id(), after.entry(NEW, "graz-a", 6));
      List<String> seeds =
          List.of(wien.controlAddress(), graz.controlAddress(), graz2.controlAddress());
      List<Instance> instances = List.of(wien, other, graz, graz2);
      wien.start(folder, zones, seeds, store.address());
      other.start(folder, zones, seeds, store.address());
      graz.start(folder, zones, seeds, firstGate.address());
      graz2.start(folder, zones, seeds, secondGate.address());
      for (Instance instance : instances) {
        if (!instance.awaitReady(20_000)) {
          record.line("%s did not become ready", instance.name());
          return Cases.NOT_RUN;
        }
      }
      // All machines are in touch from here on; those in wien stay so.
      Thread.sleep(CONTACT_MILLIS + 1_000);
      var clients = new Clients(wien, record);
      for (int i = 0; i < CUTS; i++) {
        record.line("the cut of %s from the store begins", (i % 2 == 0 ? graz : graz2).name());
        cutOnce(store, i % 2 == 0 ? firstGate : secondGate, clients, record, trouble, i);
      }
      clients.join();
      if (instances.stream().anyMatch(i -> !i.isAlive()) || before.runs().isEmpty()) {
        return Cases.NOT_RUN;
      }
      return judge(record, clients.sent(), before.runs(), after.runs());
    }
  }

  /** Cuts one machine off from the store, and moves some routes meanwhile. */
  private static void cutOnce(
      Store store, Gate gate, Clients clients, Record record, boolean trouble, int number)
      throws InterruptedException {
    int moved = number * CHANGES_IN_CUT;
    gate.setCut(trouble);
    long begun = record.millis();
    clients.sendFor(400, moved);
    for (int i = 0; i < CHANGES_IN_CUT; i++) {
      // Requests go to the route that is moved, before and after it is.
      int route = moved;
      moved++;
      int version = 7 + 3 * moved;
      store.put("op/config", config(version, moved));
      record.line("the operator writes version %d, which moves route %d", version, route);
      clients.sendFor(CHANGE_GAP_MILLIS - 200, route);
      clients.sendFor(200, moved);
    }
    Thread.sleep(Math.max(0, CUT_MILLIS - (record.millis() - begun)));
    gate.setCut(false);
    record.line("the cut ends");
    clients.sendFor(CALM_MILLIS, moved);
  }

  private static int judge(
      Record record, List<Sent> sent, List<Engine.Run> before, List<Engine.Run> after) {
    Map<String, Long> newRuns =
        after.stream().collect(Collectors.toMap(r -> r.id, r -> r.startMillis));
    Set<String> oldRuns = before.stream().map(r -> r.id).collect(Collectors.toSet());
    long[] effectMillis = new long[CUTS * CHANGES_IN_CUT + 1];
    Arrays.fill(effectMillis, Long.MAX_VALUE / 2);
    for (Sent s : sent) {
      if (newRuns.containsKey(s.id())) {
        effectMillis[s.route()] = Math.min(effectMillis[s.route()], newRuns.get(s.id()));
      }
    }
    int broken = 0;
    for (Sent s : sent) {
      long later = s.millis() - effectMillis[s.route()];
      if (oldRuns.contains(s.id()) && later > DOWNGRADE_MILLIS) {
        broken++;
        record.line(
            "CONFIG: %s on route %d was run by %s, sent %d ms after %s had run one from there",
            s.id(), s.route(), OLD, later, NEW);
      }
    }
    record.line(
        "%d requests by the old service, %d by the new one, %d too late by the old one",
        oldRuns.size(), newRuns.size(), broken);
    return broken > 0 ? 1 : 0;
  }

  private static String config(int version, int moved) {
    List<String> routes = new ArrayList<>();
    for (int i = 0; i <= CUTS * CHANGES_IN_CUT; i++) {
      routes.add(
          String.format(
              Locale.ROOT,
              "{\"name\":\"r-%d\",\"host\":\"%s\",\"prefix\":\"/r%d/\",\"kind\":\"safe\","
                  + "\"timeout_ms\":3000,\"goal_ms\":400,\"priority\":2,\"service\":\"%s\","
                  + "\"attempts\":2,\"home_regions\":[\"graz\"]}",
              i,
              HOST,
              i,
              i < moved ? NEW : OLD));
    }
    List<String> services = new ArrayList<>();
    for (String name : List.of(OLD, NEW)) {
      services.add(
          String.format(
              Locale.ROOT,
              "{\"name\":\"%s\",\"health_path\":\"/healthz\",\"max_conns\":100,"
                  + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}",
              name));
    }
    return String.format(
        Locale.ROOT,
        "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"header_bytes\":16384,"
            + "\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
        version,
        String.join(",", routes),
        String.join(",", services));
  }

  /** Clients of one machine, which send one request after the other at an even rate. */
  private static final class Clients {

    private final Instance to;
    private final Record record;
    private final List<Sent> sent = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    Clients(Instance to, Record record) {
      this.to = to;
      this.record = record;
    }

    List<Sent> sent() {
      return sent;
    }

    void sendFor(long millis, int route) throws InterruptedException {
      long begun = record.millis();
      while (record.millis() - begun < millis) {
        String id = String.format(Locale.ROOT, "request%04d", sent.size());
        String request =
            String.format(
                Locale.ROOT,
                "GET /r%d/1 HTTP/1.1\r\nHost: %s\r\nGentianslip-Request-Id: %s\r\n"
                    + "Gentianslip-Deadline-Ms: 6000\r\n\r\n",
                route,
                HOST,
                id);
        sent.add(new Sent(id, route, record.millis()));
        var thread = new Thread(() -> Client.send(to, record, request, id), "client");
        thread.start();
        threads.add(thread);
        Thread.sleep(GAP_MILLIS);
      }
    }

    void join() throws InterruptedException {
      for (Thread thread : threads) {
        thread.join();
      }
    }
  }
}
