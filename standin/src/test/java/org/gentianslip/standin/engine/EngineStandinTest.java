package org.gentianslip.standin.engine;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gentianslip.standin.http.StandinJson;
import org.gentianslip.standin.http.TestClient;
import org.gentianslip.standin.http.TestClient.TestResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EngineStandinTest {

  private static final int NEVER_MILLIS = 3_600_000;

  private EngineStandin engine = EngineStandin.start(options().build());
  private final TestClient client = new TestClient(() -> engine.port());

  @AfterEach
  void close() {
    engine.close();
  }

  @Nested
  class ForCompletions {

    @Test
    void respondsToChatWithCompletionOfJoinedMessages() throws IOException {
      var response =
          client.post(
              "/v1/chat/completions",
              "{\"model\":\"m\",\"max_tokens\":3,\"messages\":["
                  + "{\"role\":\"system\",\"content\":\"a\"},"
                  + "{\"role\":\"user\",\"content\":\"b\"}]}");
      var body = StandinJson.MAPPER.readTree(response.body());
      assertThat(
          body.at("/choices/0/message/content").asText(),
          is(CompletionText.forPrompt("a\nb").firstTokens(3)));
      assertThat(body.at("/usage/completion_tokens").asInt(), is(3));
    }

    @Test
    void streamsEveryTokenAndThenDone() throws IOException {
      var response = client.post("/v1/completions", completion("p", 4, true));
      assertThat(streamedText(response), is(CompletionText.forPrompt("p").firstTokens(4)));
      assertThat(response.body(), endsWith("data: [DONE]\n\n"));
    }

    @Test
    void sendsFirstTokenBeforeLastIsGenerated() throws IOException {
      restartWith(options().tokenMillis(NEVER_MILLIS));
      var call = client.prepare("POST", "/v1/completions", completion("p", 2, true), Map.of());
      try (var response = call.execute()) {
        assertThat(
            response.body().source().readUtf8Line(),
            containsString(CompletionText.forPrompt("p").token(0)));
      }
    }

    @Test
    void rejectsBodyThatIsNotJson() throws IOException {
      assertThat(client.post("/v1/completions", "{").status(), is(400));
    }

    @Test
    void rejectsUnknownModel() throws IOException {
      var response = client.post("/v1/completions", "{\"model\":\"x\",\"prompt\":\"p\"}");
      assertThat(response.status(), is(404));
      assertThat(response.body(), containsString("unknown_model"));
    }
  }

  @Nested
  class WithFullBatch {

    @Test
    void refusesBeforeStartWhenQueueIsAlsoFull() throws IOException {
      restartWith(options().slots(1).queueLength(0).tokenMillis(NEVER_MILLIS));
      send("first", 0);
      await().until(() -> engine.stats().started() == 1);
      var refused = client.post("/v1/completions", completion("second", 2, false));
      assertThat(refused.status(), is(503));
      assertThat(refused.header("X-Not-Started"), is("true"));
      assertThat(engine.stats().started(), is(1L));
    }

    @Test
    void startsHigherPriorityFirst() {
      restartWith(options().slots(1).loadLagMillis(1).tokenMillis(NEVER_MILLIS));
      var first = client.prepare("POST", "/v1/completions", completion("p", 2, false), Map.of());
      client.enqueue(first);
      await().until(() -> engine.stats().started() == 1);
      send("low", 1);
      await().until(() -> engine.loadReport().waiting() == 1);
      send("high", 9);
      await().until(() -> engine.loadReport().waiting() == 2);
      first.cancel();
      await().until(() -> engine.stats().started() == 2);
      assertThat(
          engine.stats().startedByPrompt(), hasKey(CompletionText.forPrompt("high").digest()));
    }

    @Test
    void freesSlotWhenClientDisconnects() throws IOException {
      restartWith(options().slots(1).queueLength(0).tokenMillis(NEVER_MILLIS));
      var call = client.prepare("POST", "/v1/completions", completion("p", 2, true), Map.of());
      try (var response = call.execute()) {
        response.body().source().readUtf8Line();
        call.cancel();
      }
      await().until(() -> engine.stats().cancelled() == 1);
      send("next", 0);
      await().until(() -> engine.stats().started() == 2);
    }
  }

  @Nested
  class WhenLeaving {

    @Test
    void refusesBeforeStartAndCountsRequest() throws IOException {
      client.post("/admin/leaving", "");
      var refused = client.post("/v1/completions", completion("p", 1, false));
      assertThat(refused.status(), is(503));
      assertThat(refused.body(), containsString("\"leaving\""));
      assertThat(engine.stats().seenWhileLeaving(), is(1L));
    }
  }

  @Nested
  class ForLoadReports {

    @Test
    void reportsOldLoadUntilNextRefresh() throws IOException {
      restartWith(options().loadLagMillis(NEVER_MILLIS).tokenMillis(NEVER_MILLIS));
      send("p", 0);
      await().until(() -> engine.stats().started() == 1);
      var load = StandinJson.MAPPER.readTree(client.get("/load").body());
      assertThat(load.path("running").asInt(), is(0));
      assertThat(load.path("models").get(0).asText(), is("m"));
    }

    @Test
    void reportsCurrentLoadAfterRefresh() {
      restartWith(options().loadLagMillis(1).tokenMillis(NEVER_MILLIS));
      send("p", 0);
      await().until(() -> engine.loadReport().running() == 1);
    }
  }

  @Nested
  class ForOrders {

    @Test
    void refusesOrderWithLowerFence() throws IOException {
      assertThat(order("set-role", "prefill", 2, 1).status(), is(200));
      assertThat(order("set-role", "decode", 1, 9).status(), is(409));
      assertThat(engine.state().role(), is("prefill"));
    }

    @Test
    void acceptsOrderWithLowerFenceIfFencingIsIgnored() throws IOException {
      restartWith(options().checksFencing(false));
      order("set-role", "prefill", 2, 1);
      assertThat(order("set-role", "decode", 1, 9).status(), is(200));
      assertThat(engine.state().role(), is("decode"));
    }

    @Test
    void servesModelOnceLoaded() throws IOException {
      restartWith(options().loadModelMillis(1));
      order("load-model", "n", 1, 1);
      await().until(() -> engine.state().models().contains("n"));
      var response = client.post("/v1/completions", "{\"model\":\"n\",\"prompt\":\"p\"}");
      assertThat(response.status(), is(200));
    }

    @Test
    void rejectsUnknownOrder() throws IOException {
      assertThat(order("format", "x", 1, 1).status(), is(400));
    }

    private TestResponse order(String type, String target, long version, long place)
        throws IOException {
      return client.post(
          "/orders",
          StandinJson.toText(
              Map.of("type", type, "target", target, "fence", List.of(version, place))));
    }
  }

  @Nested
  class WithFaults {

    @Test
    void closesConnectionBeforeDone() throws IOException {
      client.post("/admin/faults", "{\"cutAfterTokens\":1}");
      assertThrows(
          IOException.class, () -> client.post("/v1/completions", completion("p", 3, true)));
      assertThat(engine.stats().finished(), is(0L));
    }

    @Test
    void keepsStalledStreamOpen() throws IOException {
      client.post("/admin/faults", "{\"stallAfterTokens\":1}");
      final var stalled = send("p", 0);
      await().until(() -> engine.stats().started() == 1);
      client.post("/admin/faults", "{}");
      client.post("/v1/completions", completion("other", 3, false));
      assertThat(stalled.isDone(), is(false));
    }
  }

  @Nested
  class WithPrefixCache {

    private final PrefixCache cache = new PrefixCache(64);

    @Test
    void countsCompleteBlocksFromBeginning() {
      cache.lookUpAndAdd("m", "a".repeat(200));
      assertThat(cache.lookUpAndAdd("m", "a".repeat(130) + "b".repeat(70)), is(32));
    }

    @Test
    void countsNothingAfterFirstDifference() {
      cache.lookUpAndAdd("m", "a".repeat(128));
      assertThat(cache.lookUpAndAdd("m", "b" + "a".repeat(127)), is(0));
    }

    @Test
    void separatesModels() {
      cache.lookUpAndAdd("m", "a".repeat(128));
      assertThat(cache.lookUpAndAdd("n", "a".repeat(128)), is(0));
    }

    @Test
    void evictsLeastRecentlyUsedBlock() {
      cache.lookUpAndAdd("m", "a".repeat(64));
      for (int i = 0; i < 4; i++) {
        cache.lookUpAndAdd("m", Integer.toString(i).repeat(64));
      }
      assertThat(cache.lookUpAndAdd("m", "a".repeat(64)), is(0));
      assertThat(cache.tokens(), is(64));
    }

    @Test
    void countsCachedTokensOfPrompt() throws IOException {
      client.post("/v1/completions", completion("a".repeat(640), 1, false));
      client.post("/v1/completions", completion("a".repeat(640) + "b", 1, false));
      var stats = engine.stats();
      assertThat(stats.cachedTokens(), is(160L));
      assertThat(stats.promptTokens(), is(greaterThan(stats.cachedTokens())));
      assertThat(stats.startedByPrompt().size(), is(2));
    }
  }

  private static EngineOptions.Builder options() {
    return EngineOptions.builder("e1").models(List.of("m")).tokenMillis(0);
  }

  private void restartWith(EngineOptions.Builder options) {
    engine.close();
    engine = EngineStandin.start(options.build());
  }

  private CompletableFuture<TestResponse> send(String prompt, int priority) {
    return client.async(
        "POST",
        "/v1/completions",
        completion(prompt, 3, true),
        Map.of("X-Priority", Integer.toString(priority)));
  }

  private static String completion(String prompt, int maxTokens, boolean stream) {
    return StandinJson.toText(
        Map.of("model", "m", "prompt", prompt, "max_tokens", maxTokens, "stream", stream));
  }

  private static String streamedText(TestResponse response) throws IOException {
    var text = new StringBuilder();
    for (String line : response.body().split("\n")) {
      if (line.startsWith("data: {")) {
        text.append(StandinJson.MAPPER.readTree(line.substring(6)).at("/choices/0/text").asText());
      }
    }
    return text.toString();
  }
}
