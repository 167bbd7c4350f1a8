package org.gentianslip.entry.process;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.entry.http.Sha256;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A response")
class StreamingTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int MANY_TOKENS = 2_000;
  private static final int CALLERS = 200;
  private static final int DIGEST_CHARS = 8;

  private final OkHttpClient client = new OkHttpClient();
  private LoopbackFleet fleet;

  @BeforeEach
  void start() {
    fleet = LoopbackFleet.start(1, 8);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private Response stream(String prompt) throws IOException {
    String body =
        "{\"model\":\"m\",\"stream\":true,\"max_tokens\":"
            + MANY_TOKENS
            + ",\"prompt\":\""
            + prompt
            + "\"}";
    return client
        .newCall(
            new Request.Builder()
                .url(
                    "http://127.0.0.1:"
                        + fleet.configs.get("north-0").callerPort()
                        + "/v1/completions")
                .header("Authorization", "Bearer free-key")
                .header("X-Kind", "ask")
                .post(RequestBody.create(body, MediaType.get("application/json")))
                .build())
        .execute();
  }

  @Test
  @DisplayName("reaches its caller token by token, the first before the last is generated")
  void streamsTheFirstTokenBeforeTheLast() throws IOException {
    try (Response response = stream("long")) {
      assertThat(response.body().source().readUtf8LineStrict(), startsWith("data: "));
      assertThat(fleet.engines.get("north").stats().finished(), is(0L));
    }
  }

  @Test
  @DisplayName("is cancelled at the engine when its caller disconnects")
  void cancelsTheEngineRequest() throws IOException {
    Response response = stream("long");
    response.body().source().readUtf8LineStrict();
    response.close();
    await().atMost(TIMEOUT).until(() -> fleet.engines.get("north").stats().cancelled() == 1);
  }

  @Test
  @DisplayName("goes to its own caller among many concurrent ones")
  void keepsConcurrentCallersApart() {
    ExecutorService pool = Executors.newFixedThreadPool(CALLERS);
    try {
      var responses =
          IntStream.range(0, CALLERS).mapToObj(i -> pool.submit(() -> ask("prompt-" + i))).toList();
      for (int i = 0; i < CALLERS; i++) {
        String digest = Sha256.hex("prompt-" + i).substring(0, DIGEST_CHARS);
        String expected = String.join(" ", List.of(digest + "-0", digest + "-1", digest + "-2"));
        assertThat(responses.get(i).get(), containsString("\"" + expected + "\""));
      }
    } catch (Exception e) {
      throw new AssertionError(e);
    } finally {
      pool.shutdownNow();
    }
  }

  private String ask(String prompt) {
    try {
      return fleet.ask("north-0", "free", prompt).body();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
