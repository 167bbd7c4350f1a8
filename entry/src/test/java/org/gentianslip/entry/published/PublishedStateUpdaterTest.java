package org.gentianslip.entry.published;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.published.Revision;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against silent connections to the publisher that outlast the bounds of a change. */
@DisplayName("The updater of the published state")
class PublishedStateUpdaterTest {

  private final BlockingQueue<Duration> watches = new LinkedBlockingQueue<>();
  private final PublishedStateUpdater updater =
      new PublishedStateUpdater(new RecordingSource(), new EmptyDecoder(), new NoListener());

  @BeforeEach
  void start() {
    updater.start();
  }

  @AfterEach
  void close() {
    updater.close();
  }

  private Duration nextWatch() throws InterruptedException {
    return watches.poll(10, TimeUnit.SECONDS);
  }

  @Test
  void watchesInShorterCallsWhileOthersRelyOnIt() throws Exception {
    Duration relaying = nextWatch();
    updater.setRelay(false);
    await().until(() -> nextWatch().compareTo(relaying) > 0);
    Duration alone = nextWatch();
    updater.setRelay(true);
    await().until(() -> nextWatch().compareTo(alone) < 0);
    assertThat(nextWatch(), lessThan(alone));
  }

  /** Answers each call at once and records how long it may wait. */
  private final class RecordingSource implements PublishedSource {

    @Override
    public Listing list() {
      return new Listing(List.of(), Revision.NONE);
    }

    @Override
    public Changes watch(Revision after, Duration wait) {
      watches.add(wait);
      return new Changes(List.of(), after, false);
    }
  }
}
