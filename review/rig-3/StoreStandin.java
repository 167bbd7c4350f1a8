import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store as the users' page tells it: kv-key, kv-range and kv-watch over one
 * revision counter. It loses nothing and serves all callers. Thread-safe.
 */
final class StoreStandin implements AutoCloseable {

  private static final int PAGE = 500;

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 1;
  private volatile long cutMillis = Long.MAX_VALUE;
  private int cutsInRow;

  /** One state of an item; the value is null if it was deleted. */
  private record Item(String key, byte[] value, long revision, long created) {

    String json() {
      if (value == null) {
        return String.format("{\"key\":\"%s\",\"revision\":%d,\"deleted\":true}", key, revision);
      }
      return String.format(
          "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created_rev\":%d,\"lease\":0}",
          key, Base64.getEncoder().encodeToString(value), revision, created);
    }
  }

  StoreStandin() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    server.setExecutor(threads);
    server.createContext("/gentianslip/kv-range", this::range);
    server.createContext("/gentianslip/kv-key", this::key);
    server.createContext("/gentianslip/kv-watch", this::watch);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Cuts each watch from now on that has waited for a time. */
  void cutWatchesAfter(long millis) {
    cutMillis = millis;
  }

  /** Waits until a number of watches in a row was cut; returns false after a time without. */
  synchronized boolean awaitCuts(int number, long millis) throws InterruptedException {
    cutsInRow = 0;
    long end = System.nanoTime() + millis * 1_000_000;
    while (cutsInRow < number && end - System.nanoTime() > 0) {
      wait(100);
    }
    return cutsInRow >= number;
  }

  synchronized void put(String key, String value) {
    revision++;
    Item known = items.get(key);
    Item next =
        new Item(
            key,
            value.getBytes(StandardCharsets.UTF_8),
            revision,
            known == null ? revision : known.created());
    items.put(key, next);
    history.add(next);
    notifyAll();
  }

  synchronized void delete(String key) {
    if (items.remove(key) != null) {
      revision++;
      history.add(new Item(key, null, revision, 0));
      notifyAll();
    }
  }

  private void range(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String prefix = query.getOrDefault("prefix", "");
    String after = query.getOrDefault("after", "");
    StringBuilder body = new StringBuilder("{\"items\":[");
    synchronized (this) {
      int count = 0;
      boolean more = false;
      for (Item item : items.values()) {
        if (!item.key().startsWith(prefix) || item.key().compareTo(after) <= 0) {
          continue;
        }
        if (count == PAGE) {
          more = true;
          break;
        }
        body.append(count++ == 0 ? "" : ",").append(item.json());
      }
      body.append("],\"has_more\":").append(more);
      body.append(",\"store_revision\":").append(revision).append("}");
    }
    send(exchange, 200, body.toString());
  }

  private void key(HttpExchange exchange) throws IOException {
    String name = query(exchange).getOrDefault("key", "");
    String body;
    synchronized (this) {
      Item item = items.get(name);
      body =
          item == null
              ? null
              : item.json().replaceFirst("}$", ",\"store_revision\":" + revision + "}");
    }
    send(exchange, body == null ? 404 : 200, body == null ? "{}" : body);
  }

  private void watch(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String prefix = query.getOrDefault("prefix", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long waitMillis = Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "1")));
    boolean cut = waitMillis > cutMillis;
    long endNanos = System.nanoTime() + Math.min(waitMillis, cutMillis) * 1_000_000;
    String body;
    synchronized (this) {
      List<String> events = events(prefix, after);
      while (events.isEmpty() && endNanos - System.nanoTime() > 0) {
        try {
          wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
        events = events(prefix, after);
      }
      if (events.isEmpty() && cut) {
        cutsInRow++;
        notifyAll();
        exchange.close();
        return;
      }
      body =
          "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
    }
    send(exchange, 200, body);
  }

  private List<String> events(String prefix, long after) {
    List<String> events = new ArrayList<>();
    for (Item item : history) {
      if (item.revision() > after && item.key().startsWith(prefix)) {
        events.add(item.json());
      }
    }
    return events;
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String text = exchange.getRequestURI().getQuery();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      int equals = pair.indexOf('=');
      values.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return values;
  }

  private static void send(HttpExchange exchange, int status, String text) throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(body);
    }
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
