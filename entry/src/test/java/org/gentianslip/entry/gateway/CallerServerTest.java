package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.awaitility.Awaitility;
import org.gentianslip.core.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The server for callers")
class CallerServerTest {

  private static final String HOST = "127.0.0.1";
  private static final int MANY_HEADERS = 2_000;

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final List<String> handled = new CopyOnWriteArrayList<>();
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final CallerServer server =
      new CallerServer(
          loops, () -> CallerLimits.DEFAULT, leaving::get, CallerBuffers.create(), this::handle);
  private final CountDownLatch handling = new CountDownLatch(1);
  private final CountDownLatch proceed = new CountDownLatch(1);
  private final CompletableFuture<Boolean> connected = new CompletableFuture<>();
  private int port;

  private void handle(BufferedHttpRequest request, ResponseWriter writer) {
    handled.add(request.path());
    if (request.path().equals("/check")) {
      checkConnected(writer);
    }
    writer.writeResponse(200, EmptyHttpHeaders.INSTANCE, new byte[0]);
  }

  /** Keeps the event loop busy until the test goes on, then asks for the state of the caller. */
  private void checkConnected(ResponseWriter writer) {
    try {
      handling.countDown();
      proceed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    connected.complete(writer.checkConnected());
  }

  @BeforeEach
  void listen() throws Exception {
    try (var free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    server.listen(HOST, port);
  }

  @AfterEach
  void close() {
    server.close();
    loops.shutdownGracefully();
  }

  private static void write(Socket socket, String path) throws IOException {
    String head = "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
  }

  private static String readStatus(Socket socket) throws IOException {
    var reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    return reader.readLine();
  }

  @Test
  void refusesRequestsWithManyHeaders() throws Exception {
    String head = "GET / HTTP/1.1\r\nHost: shop.example\r\n" + "a:\r\n".repeat(MANY_HEADERS);
    try (var caller = new Socket(HOST, port)) {
      caller.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.US_ASCII));
      assertThat(readStatus(caller), startsWith("HTTP/1.1 431"));
    }
  }

  @Test
  void noticesThatTheCallerHasLeftWhileTheEventLoopIsBusy() throws Exception {
    try (var caller = new Socket(HOST, port)) {
      write(caller, "/check");
      handling.await();
    }
    proceed.countDown();
    assertThat(connected.get(), is(false));
  }

  @Test
  void keepsPipelinedRequestsWhenItLooksForTheEndOfTheConnection() throws Exception {
    try (var caller = new Socket(HOST, port)) {
      write(caller, "/check");
      handling.await();
      write(caller, "/next");
      proceed.countDown();
      assertThat(connected.get(), is(true));
      assertThat(readStatus(caller), startsWith("HTTP/1.1 200"));
      Awaitility.await().until(() -> handled.size() == 2);
    }
  }

  @Test
  void doesNotHandleRequestsOfCallersThatHaveLeftWhileItWasBusy() throws Exception {
    abandonRequestWhileBusy(false);
    assertThat(handled, contains("/first", "/last"));
  }

  @Test
  void handlesRequestsAtOnceDuringShutdown() throws Exception {
    abandonRequestWhileBusy(true);
    assertThat(handled, contains("/first", "/abandoned", "/last"));
  }

  private void abandonRequestWhileBusy(boolean leavingWhileBusy) throws Exception {
    var leaver = new Socket(HOST, port);
    write(leaver, "/first");
    assertThat(readStatus(leaver), startsWith("HTTP/1.1 200"));
    var blocked = new CountDownLatch(1);
    loops.next().execute(() -> await(blocked));
    leaving.set(leavingWhileBusy);
    write(leaver, "/abandoned");
    leaver.close();
    blocked.countDown();
    try (var stayer = new Socket(HOST, port)) {
      write(stayer, "/last");
      assertThat(readStatus(stayer), startsWith("HTTP/1.1 200"));
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
