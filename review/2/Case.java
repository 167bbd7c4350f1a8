import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import review.rig.Client;
import review.rig.Instance;
import review.rig.RunLog;
import review.rig.Server;
import review.rig.Store;

/**
 * A region is cut off for six seconds while one of its servers leaves; an instance of that region
 * uses the server for as long as it answers.
 */
public final class Case {

  private static final String ZONES = "graz-a = \"graz\"\nibk-a = \"innsbruck\"\nwien-a = \"wien\"";

  private static final String CONFIG =
      "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":\"shop.example\","
          + "\"prefix\":\"/pule/\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"goal_ms\":400,"
          + "\"priority\":2,\"service\":\"order-desk\",\"attempts\":1}],"
          + "\"services\":[{\"name\":\"order-desk\",\"health_path\":\"/healthz\","
          + "\"max_conns\":100}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

  private static final int DRAIN_MILLIS = 3_000;
  private static final int CONTACT_MILLIS = 5_000;
  private static final int LEASE_MILLIS = 3_600;
  private static final int CUT_MILLIS = 6_000;

  /** The number of clients of each instance; each sends its next request after an answer. */
  private static final int CLIENTS = 4;

  /** The age of the second instance's watch at the cut; the first instance's is 1.1 s older. */
  private static final int WATCH_MILLIS = 2_500;

  private record Sent(String id, long millis) {}

  private Case() {}

  /** Runs the case; the argument is the root of the checkout. */
  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]).toAbsolutePath();
    Path folder = Files.createTempDirectory("review-2-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    List<Instance> instances = new ArrayList<>();
    int exit = 2;
    try (var log = new RunLog(root.resolve("review/2/record.txt"))) {
      try {
        exit = run(log, root, folder, instances, trouble);
      } catch (IOException e) {
        log.add("the case could not run: %s", e);
      } finally {
        for (Instance i : instances) {
          i.kill();
        }
        Instance.deleteFolder(folder);
      }
      log.add("exit code %d", exit);
    }
    System.exit(exit);
  }

  private static int run(
      RunLog log, Path root, Path folder, List<Instance> instances, boolean trouble)
      throws IOException, InterruptedException {
    var store = new Store(log);
    var stays = new Server("i-stays", "order-desk", 40, log);
    var leaves = new Server("i-leaves", "order-desk", 40, log);
    store.put("op/config", CONFIG);
    store.put(stays.key(), stays.entry("ibk-a", "ready"));
    store.put(leaves.key(), leaves.entry("ibk-a", "ready"));
    instances.add(new Instance("front-ibk-a-1", "ibk-a", "innsbruck", root, folder, log));
    instances.add(new Instance("front-ibk-a-2", "ibk-a", "innsbruck", root, folder, log));
    List<String> seeds = instances.stream().map(Instance::controlAddress).toList();
    List<Store.Door> doors = new ArrayList<>();
    for (Instance i : instances) {
      Store.Door door = store.openDoor();
      doors.add(door);
      i.writeSettings(door.address(), seeds, ZONES);
      i.start();
      if (!i.awaitReady(20_000)) {
        log.add("an instance is not ready");
        return 2;
      }
      Thread.sleep(Math.max(0, 1_100 - doors.get(0).watchMillis()));
    }
    var stop = new AtomicBoolean();
    Queue<Sent> sent = new ConcurrentLinkedQueue<>();
    for (int n = 0; n < instances.size() * CLIENTS; n++) {
      startClient(log, instances.get(n % instances.size()), n, sent, stop);
    }
    Thread.sleep(6_000);
    awaitWatch(doors.get(1));
    log.add("watches are %d and %d ms old", doors.get(0).watchMillis(), doors.get(1).watchMillis());
    if (trouble) {
      log.add("the region is cut off");
      for (Store.Door d : doors) {
        d.cut();
      }
    }
    Thread.sleep(LEASE_MILLIS);
    if (trouble) {
      store.remove(stays.key());
    }
    store.remove(leaves.key());
    final long removedMillis = log.millis();
    Thread.sleep(CUT_MILLIS - LEASE_MILLIS);
    for (Store.Door d : doors) {
      d.heal();
    }
    final long healedMillis = log.millis();
    log.add("the region is connected");
    if (trouble) {
      Thread.sleep(600);
      store.put(stays.key(), stays.entry("ibk-a", "ready"));
    }
    Thread.sleep(14_000);
    leaves.exit();
    Thread.sleep(1_000);
    stop.set(true);
    Thread.sleep(500);
    long from = Math.max(removedMillis + DRAIN_MILLIS, healedMillis + CONTACT_MILLIS);
    long late = sent.stream().filter(s -> s.millis > from && leaves.ran(s.id)).count();
    log.add("requests that clients sent after %d ms and that i-leaves ran: %d", from, late);
    return late > 0 ? 1 : 0;
  }

  private static void awaitWatch(Store.Door door) throws InterruptedException {
    while (door.watchMillis() > 500) {
      Thread.sleep(5);
    }
    Thread.sleep(WATCH_MILLIS - door.watchMillis());
  }

  private static void startClient(
      RunLog log, Instance instance, int number, Queue<Sent> sent, AtomicBoolean stop) {
    var thread =
        new Thread(
            () -> {
              for (int i = 0; !stop.get(); i++) {
                String id = String.format("%02x%014x", number + 1, i);
                sent.add(new Sent(id, log.millis()));
                Client.send(
                    log, instance.callerPort(), "POST", "/pule/2f", id, 6_000, new byte[600]);
                pause(60);
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
