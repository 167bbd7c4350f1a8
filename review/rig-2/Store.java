import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in of the platform's store, as PROTOCOL.md tells of it: listings and watches of all keys.
 * Thread-safe.
 */
final class Store implements AutoCloseable {

  private record Item(String key, String value, long revision) {

    String json() {
      return value == null
          ? String.format("{\"key\":\"%s\",\"revision\":%d,\"deleted\":true}", key, revision)
          : String.format(
              "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created_rev\":%d,\"lease\":0}",
              key, value, revision, revision);
    }
  }

  private final HttpServer server;
  private final Map<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 100;

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 128);
    server.setExecutor(
        Executors.newCachedThreadPool(
            r -> {
              var thread = new Thread(r, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/gentianslip/kv-range", this::range);
    server.createContext("/gentianslip/kv-watch", this::watch);
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  /** Writes an item and returns the revision of the change. */
  synchronized long put(String key, String value) {
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    var item = new Item(key, encoded, ++revision);
    items.put(key, item);
    history.add(item);
    notifyAll();
    return revision;
  }

  /** Removes an item. */
  synchronized void remove(String key) {
    items.remove(key);
    history.add(new Item(key, null, ++revision));
    notifyAll();
  }

  private void range(HttpExchange exchange) throws IOException {
    List<String> found = new ArrayList<>();
    long at;
    synchronized (this) {
      at = revision;
      items.values().forEach(i -> found.add(i.json()));
    }
    send(
        exchange,
        String.format(
            "{\"items\":[%s],\"has_more\":false,\"store_revision\":%d}",
            String.join(",", found), at));
  }

  private void watch(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    long after = Long.parseLong(query.get("after"));
    long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    List<String> events = new ArrayList<>();
    long at;
    synchronized (this) {
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      while (revision <= after && leftMillis > 0) {
        try {
          wait(leftMillis);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
        leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      }
      at = revision;
      history.stream().filter(i -> i.revision() > after).forEach(i -> events.add(i.json()));
    }
    send(
        exchange,
        String.format("{\"events\":[%s],\"store_revision\":%d}", String.join(",", events), at));
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String part : exchange.getRequestURI().getQuery().split("&", -1)) {
      int equals = part.indexOf('=');
      query.put(part.substring(0, equals), part.substring(equals + 1));
    }
    return query;
  }

  private static void send(HttpExchange exchange, String json) throws IOException {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
