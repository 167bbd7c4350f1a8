package org.gentianslip.load.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.SocketEffect;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.CallSpec;
import org.gentianslip.load.work.ExpectedAnswer;
import org.gentianslip.load.work.WorkloadShare;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link EntryCaller} against a scripted entry instance. */
class EntryCallerTest {

  private static final RegionId REGION = RegionId.of("graz");
  private static final int TOKENS = 3;

  private final MockWebServer entry = new MockWebServer();
  private final EntryCaller caller = new EntryCaller(Duration.ofSeconds(10), System::nanoTime);

  @BeforeEach
  void start() throws IOException {
    entry.start();
  }

  @AfterEach
  void stop() {
    entry.close();
  }

  @Nested
  class ForStreams {

    private final CallSpec spec = spec(ActionType.CHAT_STREAM);

    @Test
    void acceptsTheCompleteAnswer() {
      entry.enqueue(stream(tokens(spec.prompt(), TOKENS) + "data: [DONE]\n\n"));

      assertThat(call(spec).outcome(), is(CallOutcome.ANSWERED));
    }

    @Test
    void recordsTheGapsBetweenTokens() {
      entry.enqueue(stream(tokens(spec.prompt(), TOKENS) + "data: [DONE]\n\n"));

      assertThat(call(spec).timing().gapNanos().length, is(TOKENS - 1));
    }

    @Test
    void reportsTheAnswerOfAnotherCallAsWrong() {
      entry.enqueue(stream(tokens("somebody else", TOKENS) + "data: [DONE]\n\n"));

      assertThat(call(spec).outcome(), is(CallOutcome.WRONG));
    }

    @Test
    void reportsTruncatedAnswerWithEndMarkerAsWrong() {
      entry.enqueue(stream(tokens(spec.prompt(), TOKENS - 1) + "data: [DONE]\n\n"));

      assertThat(call(spec).outcome(), is(CallOutcome.WRONG));
    }

    @Test
    void reportsTextAfterTheEndMarkerAsWrong() {
      entry.enqueue(
          stream(tokens(spec.prompt(), TOKENS) + "data: [DONE]\n\ndata: {\"choices\":[]}\n\n"));

      assertThat(call(spec).outcome(), is(CallOutcome.WRONG));
    }

    @Test
    void reportsStreamWithoutEndMarkerAsBroken() {
      entry.enqueue(stream(tokens(spec.prompt(), TOKENS)));

      assertThat(call(spec).code(), equalTo("broken"));
    }

    @Test
    void reportsTheCodeOfTheErrorEvent() {
      String error = "event: error\ndata: {\"error\": {\"code\": \"backend_failed\"}}\n\n";
      entry.enqueue(stream(tokens(spec.prompt(), 1) + error));

      assertThat(call(spec).code(), equalTo("backend_failed"));
    }

    @Test
    void reportsAnswerFromAnotherRegionAsForwarded() {
      MockResponse response = stream(tokens(spec.prompt(), TOKENS) + "data: [DONE]\n\n");
      entry.enqueue(response.newBuilder().addHeader("X-Served-Region", "wien").build());

      assertThat(call(spec).forwarded(), is(true));
    }
  }

  @Nested
  class AfterRefusals {

    private final CallSpec spec = spec(ActionType.SERVICE_READ);

    @Test
    void retriesTheCall() {
      entry.enqueue(notRun());
      entry.enqueue(serviceAnswer());

      assertThat(call(spec).outcome(), is(CallOutcome.ANSWERED));
    }

    @Test
    void givesUpAfterTheMaximumNumberOfExchanges() {
      for (int i = 0; i < 2 * EntryCaller.MAX_EXCHANGES; i++) {
        entry.enqueue(notRun());
      }

      call(spec);

      assertThat(entry.getRequestCount(), is(EntryCaller.MAX_EXCHANGES));
    }

    @Test
    void reportsRefusedConnectionAsUnreachable() {
      entry.close();

      assertThat(call(spec).code(), equalTo("unreachable"));
    }

    private MockResponse notRun() {
      return new MockResponse.Builder()
          .code(503)
          .addHeader("X-Outcome", "not-run")
          .body("{\"error\": {\"code\": \"no_capacity\"}}")
          .build();
    }
  }

  @Nested
  class ForCallsThatRunAtMostOnce {

    private final CallSpec spec = spec(ActionType.SERVICE_WRITE);

    @Test
    void sendsTheOfferedTicket() throws InterruptedException {
      entry.enqueue(new MockResponse.Builder().code(428).addHeader("X-Ticket", "t1").build());
      entry.enqueue(serviceAnswer());

      call(spec);

      entry.takeRequest();
      assertThat(entry.takeRequest().getHeaders().get("X-Ticket"), equalTo("t1"));
    }

    @Test
    void doesNotRepeatTheCallAfterLostConnection() {
      entry.enqueue(
          new MockResponse.Builder().onResponseStart(new SocketEffect.CloseSocket()).build());
      entry.enqueue(serviceAnswer());

      call(spec);

      assertThat(entry.getRequestCount(), is(1));
    }

    @Test
    void doesNotRepeatTheCallAfterServiceUnavailable() {
      entry.enqueue(status(503));
      entry.enqueue(serviceAnswer());

      call(spec);

      assertThat(entry.getRequestCount(), is(1));
    }

    @Test
    void doesNotRepeatTheCallAfterRequestTimeout() {
      entry.enqueue(status(408));
      entry.enqueue(serviceAnswer());

      call(spec);

      assertThat(entry.getRequestCount(), is(1));
    }

    @Test
    void reportsFailureWithoutTheNotRunHeaderAsUnknown() {
      entry.enqueue(status(503));

      assertThat(call(spec).outcome(), is(CallOutcome.UNKNOWN));
    }

    private MockResponse status(int code) {
      return new MockResponse.Builder().code(code).addHeader("Retry-After", "0").build();
    }
  }

  private CallResult call(CallSpec spec) {
    String address = "127.0.0.1:" + entry.getPort();
    EntryAddress known = new EntryAddress(InstanceId.of("e1"), REGION, address);
    return caller.call(spec, REGION, new FixedEntryFinder(List.of(known)), System.nanoTime());
  }

  private static MockResponse serviceAnswer() {
    String digest = ExpectedAnswer.serviceDigest(spec(ActionType.SERVICE_READ).serviceBody());
    return new MockResponse.Builder().body("{\"bodyDigest\": \"" + digest + "\"}").build();
  }

  private static MockResponse stream(String body) {
    return new MockResponse.Builder()
        .addHeader("Content-Type", "text/event-stream")
        .chunkedBody(body, 20)
        .build();
  }

  private static String tokens(String prompt, int count) {
    StringBuilder events = new StringBuilder();
    String[] tokens = ExpectedAnswer.of(prompt, count).split(" ");
    for (int i = 0; i < tokens.length; i++) {
      String token = (i == 0 ? "" : " ") + tokens[i];
      events.append("data: {\"choices\": [{\"delta\": {\"content\": \"").append(token);
      events.append("\"}}]}\n\n");
    }
    return events.toString();
  }

  private static CallSpec spec(ActionType action) {
    WorkloadShare share =
        new WorkloadShare(
            CustomerId.of("shoppers"),
            "key",
            KindId.of("care-question"),
            Rank.URGENT,
            action,
            action.isModel() ? "gourd-care" : "orders/stock",
            1,
            0,
            TOKENS);
    return new CallSpec(RequestId.of("r-1"), share, "r-1");
  }

  /** Always returns the same entries. Immutable and thread-safe. */
  private record FixedEntryFinder(List<EntryAddress> entries) implements EntryFinder {
    @Override
    public List<EntryAddress> find(CustomerId customer, KindId kind, long nowNanos) {
      return entries;
    }

    @Override
    public void recordRefusal(CustomerId customer, KindId kind, List<EntryAddress> offered) {}
  }
}
