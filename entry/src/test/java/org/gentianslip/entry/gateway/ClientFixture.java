package org.gentianslip.entry.gateway;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.gentianslip.entry.testing.AnswerServer;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Provides a client and a server whose answers are scripted; closes both after the test. */
final class ClientFixture implements BeforeEachCallback, AfterEachCallback {

  static final String ID_HEADER = "Request-Id";

  private static final int CONNECT_MILLIS = 5_000;

  private NioEventLoopGroup loops;
  private BackendClient client;
  private AnswerServer server;

  AnswerServer server() {
    return server;
  }

  /** Sends a request without a body. */
  ReceivedAnswer send(HttpMethod method, String id, boolean fresh) {
    return send(method, id, fresh, new byte[0]);
  }

  /** Sends a request with a body, which the server does not read. */
  ReceivedAnswer send(HttpMethod method, String id, boolean fresh, byte[] body) {
    return send(method, id, fresh, body, (now, headers) -> true);
  }

  /** Sends a request if a check allows it when it is written. */
  ReceivedAnswer send(HttpMethod method, String id, boolean fresh, byte[] body, WriteCheck check) {
    var answer = new ReceivedAnswer();
    var request =
        new OutgoingRequest(
            server.address(),
            method,
            "/",
            new DefaultHttpHeaders(),
            body,
            id,
            ID_HEADER,
            fresh,
            CONNECT_MILLIS,
            check);
    loops.next().execute(() -> client.send(request, answer));
    return answer;
  }

  /** Ends the event loop of the client, which closes its connections. */
  void shutdownLoops() {
    loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Stops the event loop of the client until a latch is open. */
  void stopLoopUntil(CountDownLatch latch) {
    loops
        .next()
        .submit(
            () -> {
              latch.await();
              return true;
            });
  }

  @Override
  public void beforeEach(ExtensionContext context) throws Exception {
    loops = new NioEventLoopGroup(1);
    client = new BackendClient(loops.next());
    server = new AnswerServer();
  }

  @Override
  public void afterEach(ExtensionContext context) throws Exception {
    server.close();
    loops.shutdownGracefully();
  }
}
