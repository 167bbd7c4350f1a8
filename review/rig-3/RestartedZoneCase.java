import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The only machine of a zone is stopped and started again, as planned work. Checks that the
 * directory of another zone then names it for requests that may be served in its region only.
 */
public final class RestartedZoneCase {

  private static final String ZONES =
      "graz-a = \"graz\"\nibk-a = \"ibk\"\nwien-a = \"wien\"";
  private static final String GRAZ = "front-graz-a-1";
  private static final String HOME = "front-ibk-a-1";
  private static final String WIEN = "front-wien-a-1";

  private static final long BEFORE_MILLIS = 12_000;
  private static final long CALM_MILLIS = 16_000;
  private static final long CONTACT_MILLIS = 5_000;
  private static final long JUDGED_MILLIS = 20_000;
  private static final long SEND_MILLIS = 250;
  private static final double ALLOWED_SHARE = 0.05;

  private RestartedZoneCase() {}

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
    Map<String, Node> nodes = new LinkedHashMap<>();
    try (StoreStandin store = new StoreStandin()) {
      store.put("op/config", config());
      new EngineStandin("i-1", "desk", "ibk-a", store, journal, 30);
      new EngineStandin("i-2", "desk", "ibk-a", store, journal, 30);
      Map<String, Node.Ports> ports = new LinkedHashMap<>();
      for (String name : List.of(GRAZ, HOME, WIEN)) {
        ports.put(name, Node.freePorts());
      }
      List<Integer> seeds = ports.values().stream().map(Node.Ports::control).toList();
      for (String name : ports.keySet()) {
        String zone = name.substring("front-".length(), name.length() - 2);
        String settings =
            Node.settings(name, zone, ZONES, ports.get(name), seeds, store.address());
        Node node = new Node(repository, folder, name, ports.get(name), settings);
        nodes.put(name, node);
        node.start();
      }
      for (Node node : nodes.values()) {
        if (!node.awaitReady(30_000)) {
          journal.line("%s is not ready after 30 s", node.name());
          return 2;
        }
      }
      journal.line("all machines are ready");
      Thread.sleep(BEFORE_MILLIS);
      journal.line("%s gets SIGTERM and leaves", WIEN);
      nodes.get(WIEN).process().destroy();
      send(journal, nodes, "before", CALM_MILLIS);
      if (trouble) {
        Node home = nodes.get(HOME);
        journal.line("%s gets SIGTERM", HOME);
        home.process().destroy();
        if (!home.process().waitFor(9, TimeUnit.SECONDS)) {
          journal.line("%s still runs after 9 s", HOME);
          return 2;
        }
        home.start();
        journal.line("%s is started again", HOME);
        if (!home.awaitReady(30_000)) {
          journal.line("%s is not ready after 30 s", HOME);
          return 2;
        }
        journal.line("%s is ready", HOME);
      }
      Thread.sleep(CONTACT_MILLIS);
      Counts counts = send(journal, nodes, "after", JUDGED_MILLIS);
      journal.line(
          "%d requests sent, %d of them to %s; %d served",
          counts.sent, counts.elsewhere, GRAZ, counts.served);
      if (counts.sent == 0) {
        return 2;
      }
      return counts.elsewhere > ALLOWED_SHARE * counts.sent ? 1 : 0;
    } finally {
      nodes.values().forEach(Node::close);
    }
  }

  private static final class Counts {
    int sent;
    int elsewhere;
    int served;
  }

  private static String config() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-lookup\",\"host\":\"ficu95.example\","
        + "\"prefix\":\"/puxa403/\",\"kind\":\"safe\",\"timeout_ms\":3000,\"goal_ms\":400,"
        + "\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"home_regions\":[\"ibk\"]}],"
        + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":100,"
        + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
        + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  /** Sends requests of a client of wien-a, which asks the directory of graz-a for each. */
  private static Counts send(
      Journal journal, Map<String, Node> nodes, String prefix, long millis)
      throws InterruptedException {
    Counts counts = new Counts();
    long end = journal.millis() + millis;
    while (journal.millis() < end) {
      Optional<Node> named = resolve(journal, nodes);
      if (named.isPresent()) {
        counts.sent++;
        counts.elsewhere += named.get().name().equals(GRAZ) ? 1 : 0;
        counts.served += call(journal, named.get(), prefix + "-" + counts.sent) == 200 ? 1 : 0;
      }
      Thread.sleep(SEND_MILLIS);
    }
    return counts;
  }

  private static int call(Journal journal, Node node, String id) {
    String head =
        "GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nGentianslip-Request-Id: "
            + id
            + "\r\nGentianslip-Deadline-Ms: 6000\r\nConnection: close\r\n\r\n";
    try {
      HttpMessage answer = exchange(node.ports().front(), head);
      int status = answer == null ? 0 : answer.status();
      journal.line("client sends %s to %s, gets %d", id, node.name(), status);
      return status;
    } catch (IOException e) {
      journal.line("client sends %s to %s, which fails: %s", id, node.name(), e);
      return 0;
    }
  }

  /** Returns the machine that the directory names. */
  private static Optional<Node> resolve(Journal journal, Map<String, Node> nodes) {
    String head =
        "GET /gentianslip/resolve?name=ficu95.example&region=wien&zone=wien-a HTTP/1.1\r\n"
            + "Host: directory\r\nConnection: close\r\n\r\n";
    try {
      HttpMessage answer = exchange(nodes.get(GRAZ).ports().directory(), head);
      String body = answer == null ? "" : new String(answer.body(), StandardCharsets.UTF_8);
      return nodes.values().stream()
          .filter(n -> body.contains(":" + n.ports().front() + "\""))
          .findFirst();
    } catch (IOException e) {
      journal.line("the directory doesn't answer: %s", e);
      return Optional.empty();
    }
  }

  private static HttpMessage exchange(int port, String head) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
      socket.setSoTimeout(7_000);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      return HttpMessage.read(socket.getInputStream());
    }
  }
}
