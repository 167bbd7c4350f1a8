package org.gentianslip.entry.testing;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server that answers its first request with some bytes and then repeats others until the caller
 * closes the connection, or until it has sent {@link #LIMIT_BYTES}.
 *
 * <p>Safe for use by several threads.
 */
public final class EndlessServer implements AutoCloseable {

  /** The bytes after which this server stops. */
  public static final long LIMIT_BYTES = 64L << 20;

  private static final String GZIP =
      new String(
          new byte[] {0x1f, (byte) 0x8b, 8, 8, 0, 0, 0, 0, 0, 0}, StandardCharsets.ISO_8859_1);

  private static final int BLOCK_BYTES = 16_384;

  private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  private final List<String> requestHead = new CopyOnWriteArrayList<>();
  private final AtomicLong sentBytes = new AtomicLong();
  private final CountDownLatch ended = new CountDownLatch(1);
  private final byte[] begin;
  private final byte[] block;

  /**
   * Starts a server.
   *
   * @param begin what is sent first, where <code>{gzip}</code> stands for the begin of a compressed
   *     body, up to the name of the file
   * @param repeated what is sent then
   */
  public EndlessServer(String begin, String repeated) throws IOException {
    this.begin = begin.replace("{gzip}", GZIP).getBytes(StandardCharsets.ISO_8859_1);
    this.block =
        repeated.repeat(BLOCK_BYTES / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
    var thread = new Thread(this::serve, "endless-server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the address as {@code IP:PORT}. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the lines of the head of the request. */
  public List<String> requestHead() {
    return requestHead;
  }

  /** Waits for the end of the connection and returns how many bytes were sent. */
  public long awaitSentBytes() throws InterruptedException {
    ended.await();
    return sentBytes.get();
  }

  private void serve() {
    try (Socket socket = listener.accept()) {
      readHead(socket);
      OutputStream out = socket.getOutputStream();
      out.write(begin);
      while (sentBytes.get() < LIMIT_BYTES) {
        out.write(block);
        sentBytes.addAndGet(block.length);
      }
    } catch (IOException e) {
      // The caller closed the connection, or the test has ended.
    } finally {
      ended.countDown();
    }
  }

  private void readHead(Socket socket) throws IOException {
    var reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      if (line.isEmpty()) {
        return;
      }
      requestHead.add(line);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
