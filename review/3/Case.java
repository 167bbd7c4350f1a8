import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import review.rig.Http;
import review.rig.Instance;
import review.rig.RunLog;
import review.rig.Server;
import review.rig.Store;

/** A request carries the text of another one in its body; a server runs both. */
public final class Case {

  private static final String CONFIG =
      "{\"version\":3,\"routes\":["
          + "{\"name\":\"r1\",\"host\":\"shop.example\",\"prefix\":\"/puxa/\","
          + "\"kind\":\"safe\",\"timeout_ms\":3000,\"goal_ms\":400,\"priority\":2,"
          + "\"service\":\"order-desk\",\"attempts\":2},"
          + "{\"name\":\"r2\",\"host\":\"shop.example\",\"prefix\":\"/pule/\","
          + "\"kind\":\"unsafe\",\"timeout_ms\":3000,\"goal_ms\":400,\"priority\":2,"
          + "\"service\":\"order-desk\",\"attempts\":1}],"
          + "\"services\":[{\"name\":\"order-desk\",\"health_path\":\"/healthz\","
          + "\"max_conns\":100}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

  /** Transfer codings of a body of which chunked is not the last, so that it has no known end. */
  private static final List<String> CODINGS = List.of("identity", "gzip", "xchunked");

  private Case() {}

  /** Runs the case; the argument is the root of the checkout. */
  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]).toAbsolutePath();
    Path folder = Files.createTempDirectory("review-3-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (var log = new RunLog(root.resolve("review/3/record.txt"))) {
      var instance = new Instance("front-graz-a-1", "graz-a", "graz", root, folder, log);
      try {
        exit = run(log, instance, trouble);
      } catch (IOException e) {
        log.add("the case could not run: %s", e);
      } finally {
        instance.kill();
        Instance.deleteFolder(folder);
      }
      log.add("exit code %d", exit);
    }
    System.exit(exit);
  }

  private static int run(RunLog log, Instance instance, boolean trouble)
      throws IOException, InterruptedException {
    var store = new Store(log);
    var desk = new Server("i-desk", "order-desk", 40, log);
    store.put("op/config", CONFIG);
    store.put(desk.key(), desk.entry("graz-a", "ready"));
    instance.writeSettings(
        store.openDoor().address(), List.of(instance.controlAddress()), "graz-a = \"graz\"");
    instance.start();
    if (!instance.awaitReady(20_000)) {
      log.add("the instance is not ready");
      return 2;
    }
    int smuggled = 0;
    int number = 0;
    for (String coding : CODINGS) {
      String inner = String.format("bb%014x", number);
      String outer = String.format("aa%014x", number++);
      String body = head("/pule/2f", inner) + "Content-Length: 0\r\n\r\n";
      String framing =
          trouble ? "Transfer-Encoding: " + coding : "Content-Length: " + body.length();
      send(log, instance.callerPort(), outer, head("/puxa/2f", outer) + framing + "\r\n\r\n", body);
      boolean ran = desk.ran(inner);
      log.add("request %s, the body of request %s (%s), has run: %s", inner, outer, framing, ran);
      smuggled += ran ? 1 : 0;
    }
    log.add("requests that ran and were only the body of another one: %d", smuggled);
    return smuggled > 0 ? 1 : 0;
  }

  private static String head(String path, String id) {
    return String.format(
        "POST %s HTTP/1.1\r\nHost: shop.example\r\nGentianslip-Request-Id: %s\r\n"
            + "Gentianslip-Deadline-Ms: 2000\r\n",
        path, id);
  }

  /** Sends one request on a connection of its own and reads what comes back. */
  private static void send(RunLog log, int port, String id, String head, String body)
      throws IOException {
    log.add("client: sends request %s with a body of %d bytes", id, body.length());
    try (var socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
      for (Http.Message m = Http.read(socket.getInputStream());
          m != null;
          m = Http.read(socket.getInputStream())) {
        log.add("client: gets %s for request %s", m.start(), m.header("Gentianslip-Request-Id"));
      }
      log.add("client: the connection is closed");
    } catch (SocketTimeoutException e) {
      log.add("client: gets nothing more");
    }
  }
}
