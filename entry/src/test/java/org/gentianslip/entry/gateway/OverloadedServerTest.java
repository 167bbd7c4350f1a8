package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Guards against refusals that are not true, and against an overload that refuses nothing. */
@DisplayName("A server whose event loops need 20 ms for each request that they begin")
class OverloadedServerTest {

  private static final int WORK_MILLIS = 20;
  private static final int CALLERS_PER_LOOP = 8;
  private static final int REQUESTS = 10;

  @RegisterExtension
  private final ServerFixture fixture =
      new ServerFixture(new PlainHeaders(() -> sleep(WORK_MILLIS), () -> {}));

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger other = new AtomicInteger();

  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void call(int caller) throws IOException {
    try (Socket socket = fixture.connect()) {
      for (int i = 0; i < REQUESTS; i++) {
        String id = "r" + caller + "-" + i;
        ServerFixture.Answer answer = ServerFixture.call(socket, id, ServerFixture.TIMEOUT_MILLIS);
        AtomicInteger failures = answer.isNotRun() ? refused : other;
        (answer.isSuccess() ? answered : failures).incrementAndGet();
      }
    }
  }

  private void callAll(int callers) throws Exception {
    List<Future<?>> calls = new ArrayList<>();
    for (int i = 0; i < callers; i++) {
      int caller = i;
      calls.add(
          fixture
              .threads()
              .submit(
                  () -> {
                    call(caller);
                    return null;
                  }));
    }
    for (Future<?> c : calls) {
      c.get();
    }
  }

  @Test
  void refusesSomeOfManyAndRunsExactlyTheOthers() throws Exception {
    callAll(CALLERS_PER_LOOP * Runtime.getRuntime().availableProcessors());
    assertThat(other.get(), is(0));
    assertThat(refused.get(), is(greaterThan(0)));
    assertThat(fixture.refusedRanks(ProcessorGuard.OVERLOADED), is(1L));
    assertThat(answered.get(), is(greaterThan(0)));
    assertThat(fixture.receivedDeadlines().size(), is(answered.get()));
  }

  @Test
  void passesOnTheTimeLeftAtTheWrite() throws Exception {
    callAll(1);
    long latest = ServerFixture.TIMEOUT_MILLIS - WORK_MILLIS;
    assertThat(
        fixture.receivedDeadlines(),
        everyItem(is(both(greaterThan(0L)).and(lessThanOrEqualTo(latest)))));
  }

  @Test
  void refusesNothingOfOneCaller() throws Exception {
    callAll(1);
    assertThat(answered.get(), is(REQUESTS));
    assertThat(fixture.refusedRanks(ProcessorGuard.OVERLOADED), is(0L));
  }
}
