package org.gentianslip.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.SocketEffect;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.core.outcome.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A request that a server has read and not answered")
class SingleSendTest {

  private static final Duration PATIENCE = Duration.ofSeconds(5);
  private static final byte[] BODY = "{\"slot\":9}".getBytes(StandardCharsets.UTF_8);

  private final MockWebServer server = new MockWebServer();

  @BeforeEach
  void start() throws IOException {
    server.start();
  }

  @AfterEach
  void stop() {
    server.close();
  }

  private static MockResponse done() {
    return new MockResponse.Builder().code(200).body("done").build();
  }

  /**
   * Reads the whole request, as a service that runs the call does, and then closes the connection.
   */
  private static MockResponse lost() {
    return new MockResponse.Builder().onResponseStart(new SocketEffect.CloseSocket()).build();
  }

  private static MockResponse tryAgainAtOnce() {
    return new MockResponse.Builder().code(503).addHeader("Retry-After", "0").build();
  }

  @Nested
  @DisplayName("with the defaults of the library")
  class WithDefaults {

    private final OkHttpClient client = new OkHttpClient();

    private void post() throws IOException {
      var body = RequestBody.create(BODY, MediaType.get("application/json"));
      try (Response r =
          client.newCall(new Request.Builder().url(server.url("/")).post(body).build()).execute()) {
        r.body().bytes();
      }
    }

    @Test
    void isSentAgainSilentlyAfterPooledConnectionBroke() throws IOException {
      server.enqueue(done());
      server.enqueue(lost());
      server.enqueue(done());
      post();
      post();
      assertThat(server.getRequestCount(), is(3));
    }

    @Test
    void isSentAgainSilentlyAfterRefusalThatAllowsIt() throws IOException {
      server.enqueue(tryAgainAtOnce());
      server.enqueue(done());
      post();
      assertThat(server.getRequestCount(), is(2));
    }
  }

  @Nested
  @DisplayName("by the client of this instance")
  class ByUpstreamClient {

    private final UpstreamClient client = new UpstreamClient();

    private UpstreamResult send(String method, byte[] body, boolean fresh, long rightNanos)
        throws Exception {
      var request =
          new UpstreamRequest(
              method,
              server.url("/").toString(),
              Map.of(),
              body,
              "application/json",
              System.nanoTime() + rightNanos);
      var timeouts = new UpstreamTimeouts(PATIENCE, PATIENCE, PATIENCE);
      var result = new CompletableFuture<UpstreamResult>();
      if (fresh) {
        client.startOnFreshConnection(request, timeouts, result::complete);
      } else {
        client.start(request, timeouts, result::complete);
      }
      UpstreamResult got = result.get(2 * PATIENCE.toSeconds(), TimeUnit.SECONDS);
      if (got instanceof UpstreamResult.Answer answer) {
        WholeBody.read(answer.response());
      }
      return got;
    }

    private UpstreamResult post(boolean fresh) throws Exception {
      return send("POST", BODY, fresh, PATIENCE.toNanos());
    }

    private static Outcome outcome(UpstreamResult result) {
      return ((UpstreamResult.Failed) result).outcome();
    }

    @Test
    void isSentOnceOverPooledConnection() throws Exception {
      server.enqueue(done());
      server.enqueue(lost());
      server.enqueue(done());
      post(false);
      assertThat(outcome(post(false)), instanceOf(Outcome.Unknown.class));
      assertThat(server.getRequestCount(), is(2));
    }

    @Test
    void isSentOnceOverFreshConnection() throws Exception {
      server.enqueue(lost());
      server.enqueue(done());
      assertThat(outcome(post(true)), instanceOf(Outcome.Unknown.class));
      assertThat(server.getRequestCount(), is(1));
    }

    @Test
    void isSentOnceThoughTheAnswerAllowsMore() throws Exception {
      server.enqueue(tryAgainAtOnce());
      server.enqueue(done());
      post(true);
      assertThat(server.getRequestCount(), is(1));
    }

    @Test
    void isSentOnceWithoutBodyThoughTheAnswerAllowsMore() throws Exception {
      server.enqueue(tryAgainAtOnce());
      server.enqueue(done());
      UpstreamResult result = send("GET", null, true, PATIENCE.toNanos());
      assertThat(outcome(result), instanceOf(Outcome.Unknown.class));
      assertThat(server.getRequestCount(), is(1));
    }

    @Test
    void isNotSentAfterItsRightHasEnded() throws Exception {
      server.enqueue(done());
      UpstreamResult result = send("POST", BODY, true, -1);
      assertThat(outcome(result), instanceOf(Outcome.NotRun.class));
      assertThat(server.getRequestCount(), is(0));
    }

    @Test
    void hasNotRunIfNobodyListens() throws Exception {
      server.close();
      assertThat(outcome(post(true)), instanceOf(Outcome.NotRun.class));
    }
  }
}
