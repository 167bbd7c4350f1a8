package org.gentianslip.entry.published;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianslip.core.published.Revision;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against take-ups by a published state that is older than the request. */
@DisplayName("The reader on demand")
class DemandedReaderTest {

  private final AtomicInteger failures = new AtomicInteger();
  private final AtomicInteger calls = new AtomicInteger();
  private final Semaphore responses = new Semaphore(0);
  private final PublishedStateUpdater updater =
      new PublishedStateUpdater(new Source(), new EmptyDecoder(), new NoListener());
  private final DemandedReader reader = new DemandedReader(new DemandedSource(), updater);

  @BeforeEach
  void start() {
    updater.start();
    await().until(() -> !updater.revision().equals(Revision.NONE));
  }

  @AfterEach
  void close() {
    reader.close();
    updater.close();
  }

  @Test
  void beginsAnotherCallForDemandsDuringOne() {
    final CompletableFuture<Boolean> first = reader.pass();
    await().until(() -> calls.get() == 1);
    final CompletableFuture<Boolean> second = reader.pass();
    final CompletableFuture<Boolean> third = reader.pass();
    responses.release();
    assertThat(first.join(), is(true));
    await().until(() -> calls.get() == 2);
    assertThat(second.isDone(), is(false));
    responses.release();
    assertThat(second.join(), is(true));
    assertThat(third.join(), is(true));
    assertThat(calls.get(), is(2));
  }

  @Test
  void readsOnceMoreAfterResetOfIdleConnection() {
    failures.set(1);
    responses.release();
    assertThat(reader.pass().join(), is(true));
  }

  @Test
  void failsWithTheStore() {
    failures.set(2);
    assertThat(reader.pass().join(), is(false));
  }

  /** Lists nothing, and has no changes. */
  private static class Source implements PublishedSource {

    @Override
    public Listing list() {
      return new Listing(List.of(), Revision.of(0, 1));
    }

    @Override
    public Changes watch(Revision after, Duration wait) throws IOException {
      return new Changes(List.of(), after, false);
    }
  }

  /** Fails a number of calls, and responds to others when the test says so. */
  private final class DemandedSource extends Source {

    @Override
    public Changes watch(Revision after, Duration wait) throws IOException {
      if (failures.getAndDecrement() > 0) {
        throw new IOException("Connection reset");
      }
      calls.incrementAndGet();
      responses.acquireUninterruptibly();
      return super.watch(after, wait);
    }
  }
}
