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

@DisplayName("A request")
class SingleSendTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
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

  private static MockResponse okResponse() {
    return new MockResponse.Builder().code(200).body("done").build();
  }

  /**
   * Reads the whole request, as a service that runs the call does, and then closes the connection.
   */
  private static MockResponse closedAfterRequest() {
    return new MockResponse.Builder().onResponseStart(new SocketEffect.CloseSocket()).build();
  }

  private static MockResponse unavailableWithRetryAfter() {
    return new MockResponse.Builder().code(503).addHeader("Retry-After", "0").build();
  }

  @Nested
  @DisplayName("that is sent with the defaults of the HTTP library")
  class WithDefaults {

    private final OkHttpClient client = new OkHttpClient();

    private void post() throws IOException {
      var body = RequestBody.create(BODY, MediaType.get("application/json"));
      try (Response response =
          client.newCall(new Request.Builder().url(server.url("/")).post(body).build()).execute()) {
        response.body().bytes();
      }
    }

    @Test
    void isSilentlySentAgainAfterThePooledConnectionBreaks() throws IOException {
      server.enqueue(okResponse());
      server.enqueue(closedAfterRequest());
      server.enqueue(okResponse());
      post();
      post();
      assertThat(server.getRequestCount(), is(3));
    }

    @Test
    void isSilentlySentAgainAfterRefusalsWithRetryAfter() throws IOException {
      server.enqueue(unavailableWithRetryAfter());
      server.enqueue(okResponse());
      post();
      assertThat(server.getRequestCount(), is(2));
    }
  }

  @Nested
  @DisplayName("that is sent with UpstreamClient")
  class WithUpstreamClient {

    private final UpstreamClient client = new UpstreamClient();

    private UpstreamResult send(String method, byte[] body, boolean fresh, long sendWindowNanos)
        throws Exception {
      var request =
          new UpstreamRequest(
              method,
              server.url("/").toString(),
              Map.of(),
              body,
              "application/json",
              System.nanoTime() + sendWindowNanos);
      var timeouts = new UpstreamTimeouts(TIMEOUT, TIMEOUT, TIMEOUT);
      var result = new CompletableFuture<UpstreamResult>();
      if (fresh) {
        client.startOnFreshConnection(request, timeouts, result::complete);
      } else {
        client.start(request, timeouts, result::complete);
      }
      UpstreamResult received = result.get(2 * TIMEOUT.toSeconds(), TimeUnit.SECONDS);
      if (received instanceof UpstreamResult.Responded responded) {
        ResponseBodyReader.read(responded.response());
      }
      return received;
    }

    private UpstreamResult post(boolean fresh) throws Exception {
      return send("POST", BODY, fresh, TIMEOUT.toNanos());
    }

    private static Outcome outcome(UpstreamResult result) {
      return ((UpstreamResult.Failed) result).outcome();
    }

    @Test
    void isSentOnceOverPooledConnections() throws Exception {
      server.enqueue(okResponse());
      server.enqueue(closedAfterRequest());
      server.enqueue(okResponse());
      post(false);
      assertThat(outcome(post(false)), instanceOf(Outcome.Unknown.class));
      assertThat(server.getRequestCount(), is(2));
    }

    @Test
    void isSentOnceOverFreshConnections() throws Exception {
      server.enqueue(closedAfterRequest());
      server.enqueue(okResponse());
      assertThat(outcome(post(true)), instanceOf(Outcome.Unknown.class));
      assertThat(server.getRequestCount(), is(1));
    }

    @Test
    void isSentOnceEvenIfTheResponseAllowsRetries() throws Exception {
      server.enqueue(unavailableWithRetryAfter());
      server.enqueue(okResponse());
      post(true);
      assertThat(server.getRequestCount(), is(1));
    }

    @Test
    void isSentOnceWithoutBodyEvenIfTheResponseAllowsRetries() throws Exception {
      server.enqueue(unavailableWithRetryAfter());
      server.enqueue(okResponse());
      UpstreamResult result = send("GET", null, true, TIMEOUT.toNanos());
      assertThat(outcome(result), instanceOf(Outcome.Unknown.class));
      assertThat(server.getRequestCount(), is(1));
    }

    @Test
    void isNotSentAfterItsSendDeadline() throws Exception {
      server.enqueue(okResponse());
      UpstreamResult result = send("POST", BODY, true, -1);
      assertThat(outcome(result), instanceOf(Outcome.NotRun.class));
      assertThat(server.getRequestCount(), is(0));
    }

    @Test
    void hasNotRunIfTheConnectionIsRefused() throws Exception {
      server.close();
      assertThat(outcome(post(true)), instanceOf(Outcome.NotRun.class));
    }
  }
}
