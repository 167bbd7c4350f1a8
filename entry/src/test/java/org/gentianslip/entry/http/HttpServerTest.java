package org.gentianslip.entry.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import javax.management.ObjectName;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("An HTTP server")
class HttpServerTest {

  private static final int STARTS = 200;

  @Test
  @DisplayName("is not retained after its stop")
  void isNotRetainedAfterItsStop() throws Exception {
    for (int i = 0; i < STARTS; i++) {
      HttpServer.start("127.0.0.1", freePort(), 1_000, HeadCheck.NONE, app -> {}).close();
    }
    // A server has several event loops, so one for each start would mean that all are retained.
    Awaitility.await()
        .atMost(Duration.ofSeconds(60))
        .pollInterval(Duration.ofSeconds(1))
        .untilAsserted(() -> assertThat(liveEventLoops(), lessThan((long) STARTS)));
  }

  private static int freePort() throws Exception {
    try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  private static long liveEventLoops() throws Exception {
    Object histogram =
        ManagementFactory.getPlatformMBeanServer()
            .invoke(
                new ObjectName("com.sun.management:type=DiagnosticCommand"),
                "gcClassHistogram",
                new Object[] {new String[0]},
                new String[] {String[].class.getName()});
    return histogram
        .toString()
        .lines()
        .map(line -> line.trim().split("\\s+"))
        .filter(columns -> columns.length > 3)
        .filter(columns -> columns[3].matches("io\\.netty\\.channel\\..*EventLoop"))
        .mapToLong(columns -> Long.parseLong(columns[1]))
        .sum();
  }
}
