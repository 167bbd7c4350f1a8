package org.gentianslip.load.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import mockwebserver3.Dispatcher;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.call.EntryAddress;
import org.gentianslip.load.call.EntryFinder;
import org.gentianslip.load.report.LoadReport;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.ExpectedAnswer;
import org.gentianslip.load.work.Workload;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests {@link LoadRun} against an entry that answers no call until many are in flight. */
class LoadRunTest {

  private static final long SEED = Long.getLong("seed", 11);
  private static final int CONCURRENT_CALLS = 20;

  private final MockWebServer entry = new MockWebServer();
  private final CountDownLatch arrived = new CountDownLatch(CONCURRENT_CALLS);

  @BeforeEach
  void start() throws IOException {
    entry.setDispatcher(
        new Dispatcher() {
          @Override
          public MockResponse dispatch(RecordedRequest request) throws InterruptedException {
            arrived.countDown();
            arrived.await();
            String digest = ExpectedAnswer.serviceDigest(request.getBody().toByteArray());
            return new MockResponse.Builder().body("{\"bodyDigest\": \"" + digest + "\"}").build();
          }
        });
    entry.start();
  }

  @AfterEach
  void stop() {
    entry.close();
  }

  @Test
  void sendsCallsWhileEarlierCallsAreInFlight() throws InterruptedException {
    LoadReport report = run(1_000);

    assertThat("seed " + SEED, report.answered(), is(report.sent()));
  }

  @Test
  void countsArrivalsBeyondTheConcurrencyLimit() throws InterruptedException {
    LoadReport report = run(CONCURRENT_CALLS - 1);

    assertThat("seed " + SEED, report.heldBack(), greaterThan(0L));
  }

  private LoadReport run(int concurrencyLimit) throws InterruptedException {
    EntryAddress address =
        new EntryAddress(InstanceId.of("e1"), RegionId.of("graz"), "127.0.0.1:" + entry.getPort());
    CallerGroup group = new CallerGroup(address.region(), new FixedEntryFinder(address), 1);
    LoadPlan plan =
        new LoadPlan(
            List.of(group),
            Workload.named("venture").only(ActionType.SERVICE_READ),
            100,
            Duration.ofSeconds(1),
            SEED,
            concurrencyLimit,
            Duration.ofMillis(concurrencyLimit < CONCURRENT_CALLS ? 300 : 30_000));
    return new LoadRun(plan, System::nanoTime, result -> {}).run();
  }

  /** Always returns the same entry. Immutable and thread-safe. */
  private record FixedEntryFinder(EntryAddress address) implements EntryFinder {
    @Override
    public List<EntryAddress> find(CustomerId customer, KindId kind, long nowNanos) {
      return List.of(address);
    }

    @Override
    public void recordRefusal(CustomerId customer, KindId kind, List<EntryAddress> offered) {}
  }
}
