import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Three of five machines are killed at once, and one of them comes back. Checks that the directory
 * of a machine in touch doesn't name those that stay down.
 */
public final class DeadMachineCase {

  private static final String ZONES =
      "graz-a = \"graz\"\nibk-a = \"ibk\"\nwien-a = \"wien\"";
  private static final List<String> NAMES =
      List.of("front-graz-a-1", "front-graz-a-2", "front-ibk-a-1", "front-ibk-a-2", "front-wien-a-1");
  private static final String RETURNING = "front-ibk-a-1";
  private static final List<String> KILLED =
      List.of("front-ibk-a-1", "front-ibk-a-2", "front-wien-a-1");

  /** The time after which the directory must not name a dead machine: contact_ms + 3 s. */
  private static final long DEAD_MILLIS = 8_000;

  private static final long RETURN_MILLIS = 10_000;
  private static final long ASK_MILLIS = 200;
  private static final int ALLOWED = 3;

  private DeadMachineCase() {}

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
      Map<String, Node.Ports> ports = new LinkedHashMap<>();
      for (String name : NAMES) {
        ports.put(name, Node.freePorts());
      }
      List<Integer> seeds =
          List.of(
              ports.get("front-graz-a-1").control(),
              ports.get("front-ibk-a-1").control(),
              ports.get("front-wien-a-1").control());
      for (String name : NAMES) {
        String zone = name.substring("front-".length(), name.length() - 2);
        String settings =
            Node.settings(name, zone, ZONES, ports.get(name), seeds, store.address());
        Node node = new Node(repository, folder, name, ports.get(name), settings);
        nodes.put(name, node);
        node.start();
      }
      for (Node node : nodes.values()) {
        if (!node.awaitReady(40_000)) {
          journal.line("%s is not ready after 40 s", node.name());
          return 2;
        }
      }
      journal.line("all machines are ready");
      Thread.sleep(10_000);
      long killed = journal.millis();
      if (trouble) {
        for (String name : KILLED) {
          nodes.get(name).process().destroyForcibly();
        }
        journal.line("killed at once: %s", KILLED);
      }
      int wrong = 0;
      int answers = 0;
      boolean returned = false;
      while (journal.millis() - killed < RETURN_MILLIS + 15_000) {
        if (trouble && !returned && journal.millis() - killed >= RETURN_MILLIS) {
          returned = true;
          nodes.get(RETURNING).start();
          journal.line("%s is started again", RETURNING);
        }
        // A client of wien-a: its own machine first, then the next one.
        Node asked = trouble ? nodes.get("front-graz-a-1") : nodes.get("front-wien-a-1");
        List<String> named = resolve(journal, asked, nodes);
        answers += named.isEmpty() ? 0 : 1;
        boolean late = journal.millis() - killed > DEAD_MILLIS;
        boolean wrongNow =
            trouble
                && late
                && named.stream().anyMatch(n -> KILLED.contains(n) && !n.equals(RETURNING))
                && named.stream().anyMatch(n -> !KILLED.contains(n) || n.equals(RETURNING));
        wrong += wrongNow ? 1 : 0;
        Thread.sleep(ASK_MILLIS);
      }
      journal.line("%d answers, %d name a machine that is down for over 8 s", answers, wrong);
      if (answers == 0) {
        return 2;
      }
      return wrong > ALLOWED ? 1 : 0;
    } finally {
      nodes.values().forEach(Node::close);
    }
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

  /** Asks a directory as a client of wien-a; returns the names of the machines in the answer. */
  private static List<String> resolve(Journal journal, Node asked, Map<String, Node> nodes) {
    List<String> named = new ArrayList<>();
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), asked.ports().directory()), 1_000);
      socket.setSoTimeout(1_000);
      String head =
          "GET /gentianslip/resolve?name=ficu95.example&region=wien&zone=wien-a HTTP/1.1\r\n"
              + "Host: directory\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer = HttpMessage.read(socket.getInputStream());
      String body = answer == null ? "" : new String(answer.body(), StandardCharsets.UTF_8);
      for (Node node : nodes.values()) {
        if (body.contains(":" + node.ports().front() + "\"")) {
          named.add(node.name());
        }
      }
      journal.line("the directory of %s names %s", asked.name(), named);
    } catch (IOException e) {
      journal.line("the directory of %s doesn't answer: %s", asked.name(), e);
    }
    return named;
  }
}
