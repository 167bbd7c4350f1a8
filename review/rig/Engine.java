package review.rig;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in of a model engine, which reads a prompt and then answers by a stream of events.
 *
 * <p>It doesn't drop a request when the connection closes; it notices that when it writes.
 */
public final class Engine {

  private static final int EVENTS = 30;
  private static final int EVENT_MILLIS = 24;

  private final String id;
  private final String service;
  private final int prefillMillis;
  private final RunLog record;
  private final ServerSocket server;
  private final Map<String, Long> begun = new ConcurrentHashMap<>();
  private final Map<String, Long> ended = new ConcurrentHashMap<>();
  private volatile double slowness = 1;

  /** Starts an engine that reads each prompt in the given time. */
  public Engine(String id, String service, int prefillMillis, RunLog record) throws IOException {
    this.id = id;
    this.service = service;
    this.prefillMillis = prefillMillis;
    this.record = record;
    server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  /** Returns the key of this engine's entry in the store. */
  public String key() {
    return "servers/" + id;
  }

  /** Returns this engine's entry in the store. */
  public String entry(String zone) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"1\","
            + "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,"
            + "\"born\":1700000000000}",
        service, server.getLocalPort(), zone);
  }

  /** Makes later work take so many times as long. */
  public void setSlowness(double times) {
    record.add("engine %s: works %s times as long", id, times);
    slowness = times;
  }

  /** Returns when this engine began to work on each request, in milliseconds of the record. */
  public Map<String, Long> begun() {
    return begun;
  }

  /** Returns when this engine ceased to work on each request, in milliseconds of the record. */
  public Map<String, Long> ended() {
    return ended;
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = server.accept();
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      for (Http.Message m = Http.read(socket.getInputStream());
          m != null;
          m = Http.read(socket.getInputStream())) {
        run(socket.getOutputStream(), m);
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    }
  }

  private void run(OutputStream out, Http.Message request)
      throws IOException, InterruptedException {
    String requestId = request.header("Gentianslip-Request-Id");
    String last = request.header("Last-Event-Id");
    int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    begun.put(requestId, record.millis());
    record.add("engine %s: runs request %s from event %d", id, requestId, first);
    try {
      Thread.sleep((long) (prefillMillis * slowness));
      String head =
          "HTTP/1.1 200 OK\r\nGentianslip-Request-Id: %s\r\nGentianslip-Server-Stamp: %s\r\n"
              + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
      write(out, head.formatted(requestId, id));
      for (int n = first; n <= EVENTS; n++) {
        String event = "id: " + n + "\ndata: x\n\n";
        write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        Thread.sleep((long) (EVENT_MILLIS * slowness));
      }
      write(out, "0\r\n\r\n");
      record.add("engine %s: completes request %s", id, requestId);
    } catch (IOException e) {
      record.add("engine %s: gives request %s up: %s", id, requestId, e.getMessage());
      throw e;
    } finally {
      ended.put(requestId, record.millis());
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void start(Runnable task) {
    var thread = new Thread(task, "engine");
    thread.setDaemon(true);
    thread.start();
  }
}
