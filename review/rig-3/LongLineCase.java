import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The operator raises {@code header_bytes}, and clients send longer request lines within it. Checks
 * that they are not refused as too long.
 */
public final class LongLineCase {

  private static final int REQUESTS = 40;
  private static final int SHORT_BYTES = 12_000;
  private static final int LONG_BYTES = 20_000;
  private static final long APPLY_MILLIS = 3_000;
  private static final long CONTACT_MILLIS = 5_000;

  private LongLineCase() {}

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
    try (StoreStandin store = new StoreStandin();
        EngineStandin first = new EngineStandin("i-1", "desk", "graz-a", store, journal, 30);
        EngineStandin second = new EngineStandin("i-2", "desk", "graz-a", store, journal, 30)) {
      store.put("op/config", config(7, 16_384));
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
        Thread.sleep(CONTACT_MILLIS + 1_000);
        if (trouble) {
          store.put("op/config", config(9, 32_768));
          journal.line("version 9 is acknowledged, with header_bytes = 32768");
          Thread.sleep(APPLY_MILLIS + 500);
        }
        int rejected = 0;
        for (int i = 1; i <= REQUESTS; i++) {
          int status = call(journal, ports, "q-" + i, trouble ? LONG_BYTES : SHORT_BYTES);
          boolean ownRejection = status >= 300 && status < 500;
          rejected += ownRejection && status != 408 && status != 421 && status != 429 ? 1 : 0;
        }
        int ran = first.runs().size() + second.runs().size();
        journal.line("%d requests, %d rejected as wrong, %d run", REQUESTS, rejected, ran);
        return rejected > 5 + REQUESTS / 500.0 ? 1 : 0;
      }
    }
  }

  private static String config(int version, int headerBytes) {
    return "{\"version\":"
        + version
        + ",\"routes\":[{\"name\":\"r-lookup\",\"host\":\"ficu95.example\","
        + "\"prefix\":\"/puxa403/\",\"kind\":\"safe\",\"timeout_ms\":3000,\"goal_ms\":400,"
        + "\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"home_regions\":[]}],"
        + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":100,"
        + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
        + "\"limits\":{\"header_bytes\":"
        + headerBytes
        + ",\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  private static int call(Journal journal, Node.Ports ports, String id, int bytes) {
    String head =
        "GET /puxa403/2f?list="
            + "7,".repeat(bytes / 2)
            + " HTTP/1.1\r\nHost: ficu95.example\r\nGentianslip-Request-Id: "
            + id
            + "\r\nGentianslip-Deadline-Ms: 6000\r\nConnection: close\r\n\r\n";
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.front())) {
      socket.setSoTimeout(7_000);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer = HttpMessage.read(socket.getInputStream());
      int status = answer == null ? 0 : answer.status();
      journal.line("client sends %s with a head of %d bytes, gets %d", id, head.length(), status);
      return status;
    } catch (IOException e) {
      journal.line("client: %s fails: %s", id, e);
      return 0;
    }
  }
}
