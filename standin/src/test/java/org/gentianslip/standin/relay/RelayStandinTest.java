package org.gentianslip.standin.relay;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.gentianslip.standin.http.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class RelayStandinTest {

  private static final String LINK = "graz/wien";
  private static final int SILENCE_MILLIS = 300;

  private ServerSocket echoServer;
  private RelayStandin relay;

  @BeforeEach
  void start() throws IOException {
    echoServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    var server = new Thread(this::acceptAll);
    server.setDaemon(true);
    server.start();
    startWith(route());
  }

  @AfterEach
  void close() throws IOException {
    relay.close();
    echoServer.close();
  }

  @Test
  void deliversAllBytesInOrder() throws Exception {
    relay.close();
    startWith(route().withOneWayMillis(1).withMegabitsPerSecond(400));
    var sent = new byte[3_000_000];
    new Random(7).nextBytes(sent);
    try (var socket = connect()) {
      var writer = new Thread(() -> write(socket, sent));
      writer.start();
      assertThat(socket.getInputStream().readNBytes(sent.length), is(sent));
    }
  }

  @Test
  void delaysEachDirection() throws IOException {
    relay.close();
    startWith(route().withOneWayMillis(50));
    long beforeNanos = System.nanoTime();
    try (var socket = connect()) {
      assertThat(exchange(socket, "x"), is("x"));
    }
    assertThat((System.nanoTime() - beforeNanos) / 1_000_000, greaterThanOrEqualTo(200L));
  }

  @Test
  void distinguishesDirectionsOfLink() {
    assertThat(LinkName.parse("a1/a").isForward("a1/a"), is(false));
    assertThat(LinkName.parse("a1/a").isForward("a/a1"), is(true));
  }

  @Test
  void sharesRateOfLink() {
    var rate = new LinkRateLimiter(100);
    rate.departureNanos(1_250_000, 0);
    assertThat(rate.departureNanos(1_250_000, 0), is(200_000_000L));
  }

  @Test
  void countsAndCapturesDeliveredBytes() throws IOException {
    try (var socket = connect()) {
      exchange(socket, "hello");
    }
    await().until(() -> relay.linkReports().get(0).backwardBytes() == 5);
    assertThat(relay.linkReports().get(0).forwardBytes(), is(5L));
    var response = new TestClient(relay::port).get("/admin/capture?link=wien/graz");
    assertThat(response.body(), containsString("hello"));
    assertThat(response.header("X-Complete"), is("true"));
  }

  @Test
  void failsIfCaptureIsIncomplete() throws IOException {
    try (var socket = connect()) {
      exchange(socket, "x".repeat(2000));
    }
    assertThrows(IllegalStateException.class, () -> relay.capturedBytes(LINK));
  }

  @Test
  void closesTargetConnectionWithClientConnection() throws IOException {
    try (var socket = connect()) {
      exchange(socket, "x");
    }
    await().until(() -> relay.linkReports().get(0).connections() == 0);
  }

  @Nested
  class WithCutLink {

    @Test
    void resetsOpenConnections() throws IOException {
      try (var socket = connect()) {
        exchange(socket, "x");
        apply("cut");
        assertThrows(IOException.class, () -> readOne(socket));
      }
    }

    @Test
    void refusesNewConnectionsUntilHealed() throws IOException {
      apply("cut");
      assertThrows(IOException.class, () -> exchange(connect(), "x"));
      apply("heal");
      try (var socket = connect()) {
        assertThat(exchange(socket, "x"), is("x"));
      }
    }
  }

  @Nested
  class WithSilencedOpenConnections {

    @Test
    void discardsTheirBytesWhileNewConnectionsWork() throws IOException {
      try (var old = connect()) {
        exchange(old, "x");
        apply("silence-existing");
        await().until(() -> hasDiscardedBytes(old));
        try (var fresh = connect()) {
          assertThat(exchange(fresh, "y"), is("y"));
        }
        apply("heal");
        assertSilent(old);
      }
    }

    private boolean hasDiscardedBytes(Socket socket) throws IOException {
      socket.getOutputStream().write('z');
      return relay.linkReports().get(0).droppedBytes() > 0;
    }
  }

  @Nested
  class WithSilencedLink {

    @Test
    void holdsBytesOfAllConnectionsUntilHealed() throws IOException {
      try (var old = connect()) {
        exchange(old, "x");
        apply("silence");
        try (var fresh = connect()) {
          old.getOutputStream().write('a');
          fresh.getOutputStream().write('b');
          assertSilent(old);
          assertSilent(fresh);
          apply("heal");
          assertThat(readOne(old), is((int) 'a'));
          assertThat(readOne(fresh), is((int) 'b'));
        }
      }
    }
  }

  @Test
  void rejectsUnknownLink() throws IOException {
    var response =
        new TestClient(relay::port).post("/admin/links", "{\"link\":\"x/y\",\"action\":\"cut\"}");
    assertThat(response.status(), is(400));
  }

  private RelayRoute route() {
    return RelayRoute.toLocalPort(echoServer.getLocalPort(), LINK);
  }

  private void startWith(RelayRoute route) {
    relay = RelayStandin.start(RelayOptions.of(route).withCaptureBytes(1000));
  }

  private void apply(String action) throws IOException {
    var response =
        new TestClient(relay::port)
            .post("/admin/links", "{\"link\":\"all\",\"action\":\"" + action + "\"}");
    assertThat(response.body(), response.status(), is(200));
    assertThat(response.body(), not(containsString("error")));
  }

  private Socket connect() throws IOException {
    var socket = new Socket(InetAddress.getLoopbackAddress(), relay.routePort(0));
    socket.setSoTimeout(30_000);
    return socket;
  }

  private static String exchange(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    var read = socket.getInputStream().readNBytes(text.length());
    if (read.length < text.length()) {
      throw new IOException("the connection ended after " + read.length + " bytes");
    }
    return new String(read, StandardCharsets.UTF_8);
  }

  private static int readOne(Socket socket) throws IOException {
    int value = socket.getInputStream().read();
    if (value < 0) {
      throw new IOException("the connection ended");
    }
    return value;
  }

  private static void assertSilent(Socket socket) throws IOException {
    socket.setSoTimeout(SILENCE_MILLIS);
    assertThrows(SocketTimeoutException.class, () -> readOne(socket));
    socket.setSoTimeout(30_000);
  }

  private static void write(Socket socket, byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private void acceptAll() {
    try {
      while (true) {
        var socket = echoServer.accept();
        var echo = new Thread(() -> echoBytes(socket));
        echo.setDaemon(true);
        echo.start();
      }
    } catch (IOException e) {
      return;
    }
  }

  private static void echoBytes(Socket socket) {
    try (socket) {
      socket.getInputStream().transferTo(socket.getOutputStream());
    } catch (IOException e) {
      return;
    }
  }
}
