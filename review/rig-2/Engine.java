import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a model engine or a plain service, as PROTOCOL.md tells of them. It serves one
 * request at a time on a connection, refuses requests that expect another engine, and ends a run
 * when its connection is closed, unless the answer of that run is lost. Thread-safe.
 */
final class Engine implements AutoCloseable {

  /** The age of a report, in milliseconds: "as of some hundred ms ago". */
  private static final long REPORT_AGE_MILLIS = 200;

  /** The time of a request to a plain service, in milliseconds. */
  private static final long PLAIN_MILLIS = 20;

  /** One run of a request; times in milliseconds of the record. */
  static final class Run {
    final String id;
    final String engine;
    final String path;
    final long startMillis;
    volatile long endMillis = Long.MAX_VALUE;

    Run(String id, String engine, String path, long startMillis) {
      this.id = id;
      this.engine = engine;
      this.path = path;
      this.startMillis = startMillis;
    }
  }

  /** Decides whether the answer of a run is lost, and after how many events. */
  interface Loss {

    /** Returns the number of events after which the connection is reset, or -1 if it is not. */
    int eventsBeforeReset(Run run, int runsSoFar);
  }

  private final String id;
  private final boolean streams;
  private final int events;
  private final long eventMillis;
  private final Record record;
  private final Loss loss;
  private final ServerSocket listener;
  private final AtomicInteger count = new AtomicInteger();
  private volatile boolean silent;
  private volatile Engine successor;
  private final List<Run> runs = new ArrayList<>();
  private final Set<Run> running = new HashSet<>();

  /** What the report has listed: the time and the ids that ran then. */
  private final Deque<Listed> listed = new ArrayDeque<>();

  private record Listed(long millis, List<String> ids) {}

  /**
   * Starts an engine.
   *
   * @param events the events of a stream, or 0 for a plain service
   * @param eventMillis the time from one event to the next, in milliseconds
   */
  Engine(String id, String host, int events, long eventMillis, Record record, Loss loss)
      throws IOException {
    this(
        id,
        new ServerSocket(0, 256, InetAddress.getByName(host)),
        events,
        eventMillis,
        record,
        loss);
    daemon(this::accept);
  }

  private Engine(
      String id, ServerSocket listener, int events, long eventMillis, Record record, Loss loss) {
    this.id = id;
    this.streams = events > 0;
    this.events = events;
    this.eventMillis = eventMillis;
    this.record = record;
    this.loss = loss;
    this.listener = listener;
  }

  /** Falls silent for good: nothing is answered any more, and nothing is closed. */
  void fallSilent() {
    record.line("engine %s falls silent", id);
    silent = true;
  }

  /**
   * Starts a plain service at the address of this engine, which has fallen silent before. What was
   * connected to this engine stays silent.
   */
  Engine replaceByPlainService(String newId) {
    record.line("engine %s of another service has the address of %s", newId, id);
    successor = new Engine(newId, listener, 0, 0, record, loss);
    return successor;
  }

  String id() {
    return id;
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Returns the entry of this engine in the store. */
  String entry(String service, String zone, int slots) {
    return String.format(
        Locale.ROOT,
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
            + "\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\","
            + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":1,"
            + "\"born\":1700000000000}",
        service,
        address(),
        zone,
        slots);
  }

  /** Returns all runs so far. */
  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  private static void daemon(Runnable task) {
    var thread = new Thread(task, "engine");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Engine owner = successor == null ? this : successor;
        daemon(() -> owner.serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      while (true) {
        Http.Head head = Http.readHead(socket.getInputStream());
        if (head == null) {
          return;
        }
        String length = head.header("Content-Length");
        Http.readExactly(socket.getInputStream(), length.isEmpty() ? 0 : Integer.parseInt(length));
        while (silent) {
          pause(1_000);
        }
        if (!answer(socket, head)) {
          return;
        }
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  /** Answers a request; returns whether the connection goes on. */
  private boolean answer(Socket socket, Http.Head head) throws IOException {
    String path = head.word(1);
    String requestId = head.header("Gentianslip-Request-Id");
    if (streams && path.equals("/gentianslip/report")) {
      return plain(socket, 200, requestId, "", report());
    }
    if (path.equals("/healthz")) {
      return plain(socket, 200, requestId, "Gentianslip-Instance-Id: " + id + "\r\n", "ok");
    }
    String expected = head.header("Gentianslip-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      return plain(socket, 421, requestId, "Gentianslip-Instance-Id: " + id + "\r\n", "");
    }
    var run = new Run(requestId, id, path, record.millis());
    int runsSoFar = count.incrementAndGet();
    begin(run);
    String after = head.header("Last-Event-Id");
    record.line("engine %s runs %s %s after=%s", id, requestId, path, after);
    try {
      return streams
          ? stream(socket, run, runsSoFar, after.isEmpty() ? 0 : Integer.parseInt(after))
          : plainRun(socket, run);
    } finally {
      end(run);
    }
  }

  private synchronized void begin(Run run) {
    runs.add(run);
    running.add(run);
    list();
  }

  private synchronized void end(Run run) {
    run.endMillis = record.millis();
    running.remove(run);
    list();
    record.line("engine %s ends %s", id, run.id);
  }

  private void list() {
    listed.addLast(new Listed(record.millis(), running.stream().map(r -> r.id).toList()));
  }

  private synchronized String report() {
    long at = record.millis() - REPORT_AGE_MILLIS;
    List<String> ids = List.of();
    for (Listed l : listed) {
      if (l.millis() <= at) {
        ids = l.ids();
      }
    }
    List<String> entries = ids.stream().map(i -> "[\"" + i + "\",100,1,5]").toList();
    return String.format(
        Locale.ROOT,
        "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            + "\"busy\":false,\"seq\":1,\"queued\":0,\"running\":%d,\"kv_used\":0,"
            + "\"kv_total\":350000,\"handles\":0,\"runs\":[%s]}",
        entries.size(),
        String.join(",", entries));
  }

  private boolean plainRun(Socket socket, Run run) throws IOException {
    pause(PLAIN_MILLIS);
    return plain(socket, 200, run.id, "Gentianslip-Server-Stamp: " + id + ".1\r\n", "ran at " + id);
  }

  private boolean plain(Socket socket, int status, String requestId, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        String.format(
            Locale.ROOT,
            "HTTP/1.1 %d Status\r\nGentianslip-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n",
            status,
            requestId,
            headers,
            bytes.length);
    socket.getOutputStream().write(concat(head.getBytes(StandardCharsets.ISO_8859_1), bytes));
    return true;
  }

  private boolean stream(Socket socket, Run run, int runsSoFar, int after) throws IOException {
    int resetAfter = loss.eventsBeforeReset(run, runsSoFar);
    OutputStream out = socket.getOutputStream();
    String head =
        "HTTP/1.1 200 OK\r\nGentianslip-Request-Id: "
            + run.id
            + "\r\nGentianslip-Server-Stamp: "
            + id
            + ".1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    boolean lost = false;
    for (int event = after + 1; event <= events; event++) {
      pause(eventMillis);
      while (silent) {
        pause(1_000);
      }
      if (!lost && resetAfter >= 0 && event - after > resetAfter) {
        lost = true;
        record.line("engine %s loses the answer of %s before event %d", id, run.id, event);
        socket.setSoLinger(true, 0);
        socket.close();
      }
      if (!lost) {
        String data = "id: " + event + "\ndata: piece " + event + "\n\n";
        String chunk = Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
        String text = event == after + 1 ? head + chunk : chunk;
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      }
    }
    if (!lost) {
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
    return !lost;
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] all = new byte[first.length + second.length];
    System.arraycopy(first, 0, all, 0, first.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  private static void pause(long millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
