package org.gentianslip.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Finds ports for the processes of a test. Stateless and safe for use by several threads. */
final class FreePorts {

  private static final int FIRST = Integer.getInteger("basePort", 23_000);
  private static final int LAST = FIRST + 900;

  private FreePorts() {}

  /**
   * Returns the first of a row of free ports.
   *
   * @throws IllegalStateException if there is no such row
   */
  static int row(int length) {
    int start = FIRST;
    for (int port = FIRST; port < LAST; port++) {
      if (!isFree(port)) {
        start = port + 1;
      } else if (port - start + 1 == length) {
        return start;
      }
    }
    throw new IllegalStateException(
        "there are no " + length + " free ports in a row from " + FIRST + " to " + LAST);
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
