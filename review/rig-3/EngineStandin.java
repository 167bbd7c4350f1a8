import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A sound engine of a plain service as the users' pages tell it: it answers each request after some
 * work, and drops a run when its connection closes. Thread-safe.
 */
final class EngineStandin implements AutoCloseable {

  private final String id;
  private final String service;
  private final String zone;
  private final Journal journal;
  private final StoreStandin store;
  private final ServerSocket listener;
  private final long born = System.currentTimeMillis();
  private final long workMillis;
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private volatile boolean closed;

  /** One run of a request. */
  static final class Run {
    final String request;
    final long startMillis;

    Run(String request, long startMillis) {
      this.request = request;
      this.startMillis = startMillis;
    }
  }

  EngineStandin(
      String id,
      String service,
      String zone,
      StoreStandin store,
      Journal journal,
      long workMillis)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.journal = journal;
    this.workMillis = workMillis;
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

  /** Publishes the engine; a change of the count alone is none, so it is published once. */
  private void publish() {
    store.put(
        "servers/" + id,
        String.format(
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                + "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\","
                + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":%d,"
                + "\"born\":%d}",
            service, listener.getLocalPort(), zone, 1, born));
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
    } else if (target.equals("/healthz")) {
      send(out, "200 OK", "Gentianslip-Instance-Id: " + id, "");
    } else if (requestId.isEmpty()) {
      send(out, "400 Bad Request", "Gentianslip-Not-Run: 1", "");
    } else {
      return run(socket, in, out, requestId);
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

  private boolean run(Socket socket, PushbackInputStream in, OutputStream out, String requestId)
      throws IOException {
    Run run = new Run(requestId, journal.millis());
    runs.add(run);
    journal.line("%s runs %s", id, requestId);
    try {
      pause(socket, in, workMillis);
      sendPlain(out, requestId);
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

  private void end(Run run, String outcome) {
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
