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

  /** The start of the default range of ephemeral ports on Linux. */
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  @Test
  void canBeBound() throws IOException {
    int firstPort = FreePorts.findConsecutive(3);
    for (int port = firstPort; port < firstPort + 3; port++) {
      try (var socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        assertThat(socket.getLocalPort(), is(port));
      }
    }
  }

  @Test
  void areReturnedOnlyOnce() {
    Set<Integer> returned = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      int firstPort = FreePorts.findConsecutive(14);
      for (int port = firstPort; port < firstPort + 14; port++) {
        assertThat(returned.add(port), is(true));
      }
    }
  }

  @Test
  void areBelowEphemeralPorts() {
    assertThat(FreePorts.findConsecutive(40) + 40, is(lessThan(FIRST_EPHEMERAL_PORT)));
  }
}
