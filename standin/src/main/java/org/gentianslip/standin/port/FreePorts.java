package org.gentianslip.standin.port;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Finds ports for the processes of a test.
 *
 * <p>They lie below those that outgoing connections are given, which may take any of them at any
 * time. A row is given out once until all were. Safe for use by several threads.
 */
public final class FreePorts {

  private static final int FIRST = Integer.getInteger("basePort", 23_000);
  private static final int COUNT = 7_000;

  /** The distance between the first rows of two processes. */
  private static final int PROCESS_STEP = 37;

  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STEP % COUNT));

  private FreePorts() {}

  /**
   * Returns the first of a row of free ports.
   *
   * @throws IllegalStateException if there is no such row
   */
  public static int findConsecutive(int length) {
    for (int tried = 0; tried < COUNT; tried += length) {
      int offset = Math.floorMod(NEXT.getAndAdd(length), COUNT);
      int start = FIRST + offset;
      if (offset + length <= COUNT
          && IntStream.range(start, start + length).allMatch(FreePorts::isFree)) {
        return start;
      }
    }
    throw new IllegalStateException(
        "there are no " + length + " free ports in a row from " + FIRST + " on");
  }

  private static boolean isFree(int port) {
    try (var socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      // Another process has the port, which is what was asked.
      return false;
    }
  }
}
