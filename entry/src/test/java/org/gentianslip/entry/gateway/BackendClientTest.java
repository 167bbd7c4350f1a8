package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The client of backend servers")
class BackendClientTest {

  private static final long TIMEOUT_SECONDS = 10;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private HttpServer server;

  @BeforeEach
  void startServer() throws Exception {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(200, -1);
          exchange.close();
        });
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop(0);
    group.shutdownGracefully();
  }

  /** Guards against taking a new connection for one from before a restart of the server. */
  @Test
  void knowsTheAgeOfEachConnectionAtItsFirstAnswer() throws Exception {
    long begun = System.nanoTime();
    var connected = new CompletableFuture<Long>();
    EventLoop loop = group.next();
    loop.execute(() -> send(new BackendClient(loop), connected));
    assertThat(connected.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), greaterThanOrEqualTo(begun));
  }

  private void send(BackendClient client, CompletableFuture<Long> connected) {
    HttpHeaders headers = new DefaultHttpHeaders().set("Host", "x").set("Id", "a1");
    var request =
        new OutgoingRequest(
            "127.0.0.1:" + server.getAddress().getPort(),
            HttpMethod.GET,
            "/",
            headers,
            new byte[0],
            "a1",
            "Id",
            true,
            1_000,
            (now, requestHeaders) -> true);
    var exchange = new AtomicReference<Exchange>();
    exchange.set(
        client.send(
            request,
            new ResponseListener() {
              @Override
              public void onHead(int status, HttpHeaders responseHeaders) {
                connected.complete(exchange.get().connectedNanos());
              }

              @Override
              public void onBodyPart(byte[] bytes) {}

              @Override
              public void onComplete() {}

              @Override
              public void onNotWritten() {}

              @Override
              public void onFailure(boolean written, String cause) {
                connected.completeExceptionally(new IllegalStateException(cause));
              }
            }));
  }
}
