package review.rig;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a backend server, which answers each request after some work.
 *
 * <p>It runs six requests at once and queues 24 more; beyond that, it refuses. Requests below
 * {@code /care/} are answered by a short stream of events.
 */
public final class Server {

  /** The requests that wait beside those that run. */
  private static final int QUEUE = 24;

  /** The standard deviation of the logarithm of the work. */
  private static final double SPREAD = 0.47;

  private final String id;
  private final String service;
  private final RunLog record;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<String> runs = ConcurrentHashMap.newKeySet();
  private final Semaphore slots;
  private final int slotCount;
  private final AtomicInteger accepted = new AtomicInteger();
  private final int workMillis;
  private final Random random = new Random(7);
  private volatile double slowness = 1;

  /** Starts a server with six slots that works a while on each request. */
  public Server(String id, String service, int workMillis, RunLog record) throws IOException {
    this(id, service, workMillis, 6, record);
  }

  /** Starts a server that works a while on each request. */
  public Server(String id, String service, int workMillis, int slots, RunLog record)
      throws IOException {
    this.slots = new Semaphore(slots, true);
    this.slotCount = slots;
    this.id = id;
    this.service = service;
    this.workMillis = workMillis;
    this.record = record;
    server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  /** Returns the id. */
  public String id() {
    return id;
  }

  /** Returns the key of this server's entry in the store. */
  public String key() {
    return "servers/" + id;
  }

  /** Returns this server's entry in the store. */
  public String entry(String zone, String state) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"1\","
            + "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}",
        service, server.getLocalPort(), zone, slotCount, state);
  }

  /** Returns whether this server has begun to run a request. */
  public boolean ran(String requestId) {
    return runs.contains(requestId);
  }

  /** Makes later work take so many times as long. */
  public void setSlowness(double times) {
    record.add("server %s: works %s times as long", id, times);
    slowness = times;
  }

  /** Ends this server and all that it runs. */
  public void exit() throws IOException {
    record.add("server %s: exits", id);
    server.close();
    for (Socket s : sockets) {
      s.setSoLinger(true, 0);
      s.close();
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    String running = null;
    try (socket) {
      socket.setTcpNoDelay(true);
      while (true) {
        Http.Message request = Http.read(socket.getInputStream());
        if (request == null) {
          return;
        }
        running = request.header("Gentianslip-Request-Id");
        respond(socket.getOutputStream(), request, running);
        running = null;
      }
    } catch (IOException | InterruptedException e) {
      if (running != null) {
        record.add("server %s: request %s is broken off", id, running);
      }
    } finally {
      sockets.remove(socket);
    }
  }

  private void respond(OutputStream out, Http.Message request, String requestId)
      throws IOException, InterruptedException {
    String echo = "Gentianslip-Request-Id: " + requestId + "\r\n";
    String expected = request.header("Gentianslip-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      record.add("server %s: 421 to request %s for %s", id, requestId, expected);
      Http.respond(out, 421, echo + "Gentianslip-Not-Run: 1\r\n", new byte[0]);
      return;
    }
    if (accepted.incrementAndGet() > slotCount + QUEUE) {
      accepted.decrementAndGet();
      record.add("server %s: is full for request %s", id, requestId);
      Http.respond(out, 503, echo + "Gentianslip-Not-Run: 1\r\n", new byte[0]);
      return;
    }
    slots.acquire();
    try {
      record.add("server %s: runs request %s (%s)", id, requestId, request.start());
      runs.add(requestId);
      Thread.sleep((long) (nextWorkMillis() * slowness));
    } finally {
      slots.release();
      accepted.decrementAndGet();
    }
    boolean stream = request.target().startsWith("/care/");
    String body = stream ? "id: 1\ndata: x\n\nid: 2\ndata: x\n\n" : "answer by " + id;
    String type = stream ? "Content-Type: text/event-stream\r\n" : "";
    Http.respond(
        out,
        200,
        echo + type + "Gentianslip-Server-Stamp: " + id + "\r\n",
        body.getBytes(StandardCharsets.UTF_8));
  }

  /** Draws the work of a request: spread by a half around the mean, at most five times the mean. */
  private synchronized double nextWorkMillis() {
    double spread = Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
    return Math.min(5.0 * workMillis, workMillis * spread);
  }

  private static void start(Runnable task) {
    var thread = new Thread(task, "server");
    thread.setDaemon(true);
    thread.start();
  }
}
