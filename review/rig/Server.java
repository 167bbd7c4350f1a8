package review.rig;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in of a plain backend server, which answers each request after some work. */
public final class Server {

  private final String id;
  private final String service;
  private final RunLog record;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<String> runs = ConcurrentHashMap.newKeySet();
  private volatile int workMillis;

  /** Starts a server that works a while on each request. */
  public Server(String id, String service, int workMillis, RunLog record) throws IOException {
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
            + "\"slots\":6,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}",
        service, server.getLocalPort(), zone, state);
  }

  /** Returns whether this server has begun to run a request. */
  public boolean ran(String requestId) {
    return runs.contains(requestId);
  }

  /** Sets the work of each later request. */
  public void setWorkMillis(int millis) {
    workMillis = millis;
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
    record.add("server %s: runs request %s (%s)", id, requestId, request.start());
    runs.add(requestId);
    Thread.sleep(workMillis);
    byte[] body = ("answer to " + requestId + " by " + id).getBytes(StandardCharsets.UTF_8);
    Http.respond(out, 200, echo + "Gentianslip-Server-Stamp: " + id + "\r\n", body);
  }

  private static void start(Runnable task) {
    var thread = new Thread(task, "server");
    thread.setDaemon(true);
    thread.start();
  }
}
