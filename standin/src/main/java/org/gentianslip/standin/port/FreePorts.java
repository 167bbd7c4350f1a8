package org.gentianslip.standin.port;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Finds free ports for the processes of a test.
 *
 * <p>They lie below the range of ephemeral ports, since an outgoing connection may occupy any
 * ephemeral port at any time. Ports are not returned again before the whole range has been used.
 * Safe for use by several threads.
 */
public final class FreePorts {

  private static final int FIRST_PORT = Integer.getInteger("basePort", 23_000);
  private static final int PORT_COUNT = 7_000;

  /** The distance between the start ports of processes with successive process ids. */
  private static final int PROCESS_STEP = 37;

  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STEP % PORT_COUNT));

  private FreePorts() {}

  /**
   * Returns the first of several consecutive free ports.
   *
   * @throws IllegalStateException if there are not enough consecutive free ports
   */
  public static int findConsecutive(int count) {
    for (int tried = 0; tried < PORT_COUNT; tried += count) {
      int offset = Math.floorMod(NEXT_OFFSET.getAndAdd(count), PORT_COUNT);
      int start = FIRST_PORT + offset;
      if (offset + count <= PORT_COUNT
          && IntStream.range(start, start + count).allMatch(FreePorts::isFree)) {
        return start;
      }
    }
    throw new IllegalStateException(
        "there are no " + count + " consecutive free ports from " + FIRST_PORT + " on");
  }

  private static boolean isFree(int port) {
    try (var socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      // The port is in use by another process.
      return false;
    }
  }
}
