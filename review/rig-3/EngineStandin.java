import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/**
 * A model engine as the users' pages tell it: it streams events, lists its runs in a report whose
 * values are some hundred milliseconds old, and drops a run when its connection closes. A run whose
 * answer is lost goes on to its end. Thread-safe.
 */
final class EngineStandin implements AutoCloseable {

  /** How old the values of a report are, in milliseconds. */
  private static final long REPORT_LAG_MILLIS = 250;

  private final String id;
  private final String service;
  private final String zone;
  private final Journal journal;
  private final StoreStandin store;
  private final ServerSocket listener;
  private final long born = System.currentTimeMillis();
  private final long prefillMillis;
  private final long gapMillis;
  private final int events;
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private volatile Predicate<String> losesAnswer = request -> false;
  private volatile boolean closed;
  private long seq;

  /** One run of a request; the end is 0 while it lasts. */
  static final class Run {
    final String request;
    final String engine;
    final long startMillis;
    final int firstEvent;
    volatile long endMillis;
    volatile String outcome = "running";

    Run(String request, String engine, long startMillis, int firstEvent) {
      this.request = request;
      this.engine = engine;
      this.startMillis = startMillis;
      this.firstEvent = firstEvent;
    }

    boolean lastsAt(long millis) {
      return startMillis <= millis && (endMillis == 0 || endMillis > millis);
    }
  }

  EngineStandin(
      String id,
      String service,
      String zone,
      StoreStandin store,
      Journal journal,
      long prefillMillis,
      long gapMillis,
      int events)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.journal = journal;
    this.prefillMillis = prefillMillis;
    this.gapMillis = gapMillis;
    this.events = events;
    listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    start(this::accept);
    publish();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  String id() {
    return id;
  }

  List<Run> runs() {
    return runs;
  }

  /** Sets of which requests the answer is lost from now on. */
  void setLosesAnswer(Predicate<String> test) {
    losesAnswer = test;
  }

  /** Publishes the engine, and again with each change; one of the count alone is none. */
  private void publish() {
    store.put(
        "servers/" + id,
        String.format(
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                + "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\","
                + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":%d,"
                + "\"born\":%d}",
            service, listener.getLocalPort(), zone, ++seq, born));
  }

  /** Removes the entry; the engine serves on, and never said that it would leave. */
  void leave() {
    store.delete("servers/" + id);
    journal.line("the entry of %s is removed", id);
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      PushbackInputStream in = new PushbackInputStream(socket.getInputStream(), 1);
      while (!closed) {
        socket.setSoTimeout(10_000);
        HttpMessage request = HttpMessage.read(in);
        if (request == null || !request.complete() || !answer(socket, in, request)) {
          return;
        }
      }
    } catch (IOException e) {
      // The other side is gone; a run of it was dropped.
    }
  }

  /** Answers a request; returns whether the connection may be used again. */
  private boolean answer(Socket socket, PushbackInputStream in, HttpMessage request)
      throws IOException {
    OutputStream out = socket.getOutputStream();
    String target = request.firstLine().split(" ")[1];
    String expected = request.header("Gentianslip-Expect-Instance");
    String requestId = request.header("Gentianslip-Request-Id");
    if (!expected.isEmpty() && !expected.equals(id)) {
      send(out, "421 Misdirected Request", "Gentianslip-Instance-Id: " + id, "");
    } else if (target.equals("/gentianslip/report")) {
      send(out, "200 OK", "Content-Type: application/json", report());
    } else if (target.equals("/healthz")) {
      send(out, "200 OK", "Gentianslip-Instance-Id: " + id, "");
    } else if (requestId.isEmpty()) {
      send(out, "400 Bad Request", "Gentianslip-Not-Run: 1", "");
    } else {
      return run(socket, in, out, request, requestId);
    }
    return !request.header("Connection").equalsIgnoreCase("close");
  }

  private static void send(OutputStream out, String status, String header, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 " + status + "\r\n" + header + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.write(bytes);
    out.flush();
  }

  private String report() {
    long asOf = journal.millis() - REPORT_LAG_MILLIS;
    List<String> listed = new ArrayList<>();
    for (Run run : runs) {
      if (run.lastsAt(asOf)) {
        listed.add("[\"" + run.request + "\",1000,1,5]");
      }
    }
    journal.line("%s reports the runs of %d ms ago: %s", id, REPORT_LAG_MILLIS, listed);
    return "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
        + "\"busy\":false,\"seq\":1,\"queued\":0,\"running\":"
        + listed.size()
        + ",\"kv_used\":1000,\"kv_total\":350000,\"handles\":0,\"runs\":["
        + String.join(",", listed)
        + "],\"born\":"
        + born
        + "}";
  }

  private boolean run(
      Socket socket, PushbackInputStream in, OutputStream out, HttpMessage request, String requestId)
      throws IOException {
    String last = request.header("Last-Event-Id");
    int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    Run run = new Run(requestId, id, journal.millis(), next);
    runs.add(run);
    boolean lost = losesAnswer.test(requestId);
    journal.line("%s runs %s from event %d", id, requestId, next);
    try {
      pause(socket, in, prefillMillis);
      if (events == 0) {
        sendPlain(out, requestId);
        end(run, "complete");
        return true;
      }
      if (lost) {
        loseAnswer(socket, run);
        return false;
      }
      String head =
          "HTTP/1.1 200 OK\r\nGentianslip-Request-Id: "
              + requestId
              + "\r\nGentianslip-Server-Stamp: stamp-of-"
              + id
              + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      for (int event = next; event <= events; event++) {
        byte[] text = ("id: " + event + "\ndata: piece\n\n").getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(text.length) + "\r\n").getBytes());
        out.write(text);
        out.write("\r\n".getBytes());
        out.flush();
        pause(socket, in, gapMillis);
      }
      out.write("0\r\n\r\n".getBytes());
      out.flush();
      end(run, "complete");
      return true;
    } catch (IOException e) {
      end(run, "dropped, as its connection closed");
      throw e;
    }
  }

  private void sendPlain(OutputStream out, String requestId) throws IOException {
    String headers =
        "Gentianslip-Request-Id: " + requestId + "\r\nGentianslip-Server-Stamp: stamp-of-" + id;
    send(out, "200 OK", headers, "done by " + id);
  }

  private void loseAnswer(Socket socket, Run run) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
    journal.line("%s loses its answer to %s and goes on with it", id, run.request);
    sleep(gapMillis * (events - run.firstEvent + 1));
    end(run, "complete, its answer was lost");
  }

  private void end(Run run, String outcome) {
    run.endMillis = journal.millis();
    run.outcome = outcome;
    journal.line("%s ends the run of %s: %s", id, run.request, outcome);
  }

  /** Waits; fails when the other side closes the connection meanwhile. */
  private static void pause(Socket socket, PushbackInputStream in, long millis)
      throws IOException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (end - System.nanoTime() > 0) {
      socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
      try {
        int b = in.read();
        if (b < 0) {
          throw new IOException("closed");
        }
        in.unread(b);
        sleep(Math.max(0, (end - System.nanoTime()) / 1_000_000));
        return;
      } catch (SocketTimeoutException e) {
        // Nothing came, as usual.
      }
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }


  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
  }
}
