package org.gentianslip.standin.port;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Free ports")
class FreePortsTest {

  /** The first of the ports that outgoing connections are given. */
  private static final int OUTGOING = 32_768;

  @Test
  void canBeBound() throws IOException {
    int start = FreePorts.findConsecutive(3);
    for (int port = start; port < start + 3; port++) {
      try (var socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        assertThat(socket.getLocalPort(), is(port));
      }
    }
  }

  @Test
  void areGivenOutOnce() {
    Set<Integer> given = new HashSet<>();
    for (int row = 0; row < 50; row++) {
      int start = FreePorts.findConsecutive(14);
      for (int port = start; port < start + 14; port++) {
        assertThat(given.add(port), is(true));
      }
    }
  }

  @Test
  void areBelowThoseOfOutgoingConnections() {
    assertThat(FreePorts.findConsecutive(40) + 40, is(lessThan(OUTGOING)));
  }
}
