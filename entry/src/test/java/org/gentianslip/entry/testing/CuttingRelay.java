package org.gentianslip.entry.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Relays bytes between an instance and a service up to a given number of bytes in each direction.
 *
 * <p>Safe for use by several threads.
 */
public final class CuttingRelay implements AutoCloseable {

  /**
   * Where the next connections are cut.
   *
   * @param requestBytes the number of request bytes to relay
   * @param responseBytes the number of response bytes to relay
   * @param silent true to keep a cut connection open without relaying; false to close it
   */
  public record Cut(long requestBytes, long responseBytes, boolean silent) {

    /** Relays everything. */
    public static final Cut NONE = new Cut(Long.MAX_VALUE, Long.MAX_VALUE, false);
  }

  /** The number of request bytes relayed since the cut was last set. */
  public final AtomicLong requestBytes = new AtomicLong();

  /** The number of response bytes relayed since the cut was last set. */
  public final AtomicLong responseBytes = new AtomicLong();

  private final ServerSocket listener;
  private final int targetPort;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private volatile Cut cut = Cut.NONE;

  CuttingRelay(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Sets where connections that are opened from now on are cut. */
  public void cutAt(Cut next) {
    requestBytes.set(0);
    responseBytes.set(0);
    cut = next;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket s : sockets) {
      s.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket instanceSide = listener.accept();
        Socket serviceSide = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        sockets.add(instanceSide);
        sockets.add(serviceSide);
        Cut current = cut;
        start(
            () ->
                relay(
                    instanceSide,
                    serviceSide,
                    current.requestBytes(),
                    requestBytes,
                    current.silent()));
        start(
            () ->
                relay(
                    serviceSide,
                    instanceSide,
                    current.responseBytes(),
                    responseBytes,
                    current.silent()));
      }
    } catch (IOException e) {
      // The relay was closed.
    }
  }

  private static void relay(
      Socket from, Socket to, long limit, AtomicLong relayedBytes, boolean silent) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      long remaining = limit;
      byte[] buffer = new byte[8192];
      while (remaining > 0) {
        int count = in.read(buffer, 0, (int) Math.min(buffer.length, remaining));
        if (count < 0) {
          break;
        }
        out.write(buffer, 0, count);
        relayedBytes.addAndGet(count);
        remaining -= count;
      }
      if (remaining > 0 || !silent) {
        from.close();
        to.close();
      }
    } catch (IOException e) {
      closeBoth(from, to);
    }
  }

  private static void closeBoth(Socket a, Socket b) {
    try {
      a.close();
      b.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "cut-relay");
    thread.setDaemon(true);
    thread.start();
  }
}
