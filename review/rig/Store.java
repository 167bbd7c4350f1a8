package review.rig;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in of the platform's store: listings and watches of items, at one address for each
 * reader, so that it can turn a reader away.
 */
public final class Store {

  private final RunLog record;
  private final TreeMap<String, String> items = new TreeMap<>();
  private final TreeMap<Long, String> events = new TreeMap<>();
  private final TreeMap<String, Long> revisions = new TreeMap<>();
  private long revision = 10;

  /** An address of the store, used by one reader, whose path to the store can be cut. */
  public final class Door {
    private final ServerSocket server;
    private final List<Socket> fillers = new ArrayList<>();
    private volatile boolean cut;
    private volatile int silentBelow;
    private volatile long watchedNanos = System.nanoTime();
    private int accepted;

    private Door() throws IOException {
      server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      server.setSoTimeout(20);
      start(this::accept);
    }

    /** Returns the address. */
    public String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the age of the newest watch, in milliseconds. */
    public long watchMillis() {
      return (System.nanoTime() - watchedNanos) / 1_000_000;
    }

    /**
     * Cuts the path: bytes on open connections are held up, and new connections hang, as the queue
     * for them is full.
     */
    public void cut() throws IOException, InterruptedException {
      cut = true;
      Thread.sleep(50);
      for (int i = 0; i < 2; i++) {
        fillers.add(new Socket("127.0.0.1", server.getLocalPort()));
      }
    }

    /** Heals the path: bytes that were held up arrive, and connections are accepted. */
    public void heal() throws IOException {
      for (Socket s : fillers) {
        s.close();
      }
      cut = false;
    }

    /** Lets all open connections go silent for good; new ones work. */
    public synchronized void silenceOpenConnections() {
      silentBelow = accepted;
    }

    private void accept() {
      while (true) {
        try {
          awaitPath();
          Socket socket = server.accept();
          int number;
          synchronized (this) {
            number = accepted++;
          }
          start(() -> serve(socket, number));
        } catch (SocketTimeoutException e) {
          continue;
        } catch (IOException | InterruptedException e) {
          return;
        }
      }
    }

    private void awaitPath() throws InterruptedException {
      while (cut) {
        Thread.sleep(5);
      }
    }

    private void serve(Socket socket, int number) {
      try (socket) {
        while (true) {
          Http.Message call = Http.read(socket.getInputStream());
          if (call == null) {
            return;
          }
          awaitPath();
          Reply reply = answer(call, this);
          awaitPath();
          if (number < silentBelow) {
            Thread.sleep(Long.MAX_VALUE);
          }
          OutputStream out = socket.getOutputStream();
          Http.respond(
              out,
              reply.status,
              "Content-Type: application/json\r\n",
              reply.body.getBytes(StandardCharsets.UTF_8));
        }
      } catch (IOException | InterruptedException e) {
        // The reader has left.
      }
    }
  }

  private record Reply(int status, String body) {}

  /** Creates a store without items. */
  public Store(RunLog record) {
    this.record = record;
  }

  /** Opens an address for a reader. */
  public Door openDoor() throws IOException {
    return new Door();
  }

  private static void start(Runnable task) {
    var thread = new Thread(task, "store");
    thread.setDaemon(true);
    thread.start();
  }

  /** Writes an item; the return is the acknowledgement. */
  public synchronized void put(String key, String value) {
    revision++;
    items.put(key, value);
    revisions.put(key, revision);
    events.put(revision, "{" + item(key) + "}");
    record.add("store: revision %d, %s = %s", revision, key, value);
    notifyAll();
  }

  /** Removes an item; the return is the acknowledgement. */
  public synchronized void remove(String key) {
    revision++;
    items.remove(key);
    revisions.remove(key);
    events.put(
        revision, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}");
    record.add("store: revision %d, %s is removed", revision, key);
    notifyAll();
  }

  private String item(String key) {
    byte[] value = items.get(key).getBytes(StandardCharsets.UTF_8);
    return String.format(
        "\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created_rev\":%d,\"lease\":0",
        key, Base64.getEncoder().encodeToString(value), revisions.get(key), revisions.get(key));
  }

  private Reply answer(Http.Message call, Door door) throws InterruptedException {
    Map<String, String> query = query(call.target());
    if (call.target().startsWith("/gentianslip/kv-watch")) {
      door.watchedNanos = System.nanoTime();
      return watch(Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")));
    }
    return call.target().startsWith("/gentianslip/kv-range") ? list() : new Reply(404, "{}");
  }

  private synchronized Reply list() {
    List<String> all = new ArrayList<>();
    items.keySet().forEach(k -> all.add("{" + item(k) + "}"));
    return new Reply(
        200,
        "{\"items\":["
            + String.join(",", all)
            + "],\"has_more\":false,\"store_revision\":"
            + revision
            + "}");
  }

  private synchronized Reply watch(long after, long waitMillis) throws InterruptedException {
    long end = System.nanoTime() + waitMillis * 1_000_000;
    while (revision <= after && System.nanoTime() - end < 0) {
      wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
    }
    String found = String.join(",", events.tailMap(after, false).values());
    return new Reply(200, "{\"events\":[" + found + "],\"store_revision\":" + revision + "}");
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    for (String pair : target.substring(mark + 1).split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
