package org.gentianslip.entry.testing;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server on plain sockets that writes the bytes of each answer itself. It serves requests without
 * a body. Safe for use by several threads.
 */
public final class AnswerServer implements AutoCloseable {

  private static final int BACKLOG = 50;

  private final ServerSocket listener =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile Script script;

  /** Answers one request. */
  public interface Script {

    /**
     * Writes an answer; the connection stays open unless the script closes it.
     *
     * @param place the number of the request on its connection, from 1
     */
    void answer(int place, Socket socket) throws IOException;
  }

  /** Starts to listen on a free port. */
  public AnswerServer() throws IOException {
    startDaemon(this::accept);
  }

  /** Sets how requests are answered from now on. */
  public void setScript(Script next) {
    script = next;
  }

  /** Returns the address as {@code IP:PORT}. */
  public String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Closes a connection with a TCP reset. */
  public static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        startDaemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed at the end of the test.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int place = 1; readHead(in); place++) {
        script.answer(place, socket);
      }
    } catch (IOException e) {
      // The client or the script closed the connection.
    }
  }

  /** Reads up to the empty line; returns whether there was one. */
  private static boolean readHead(InputStream in) throws IOException {
    int lineBytes = 0;
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n' && lineBytes == 0) {
        return true;
      }
      if (b != '\r') {
        lineBytes = b == '\n' ? 0 : lineBytes + 1;
      }
    }
    return false;
  }

  private static void startDaemon(Runnable task) {
    var thread = new Thread(task, "answer-server");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
