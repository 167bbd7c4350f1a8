package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A prompt directory")
class PromptDirectoryTest {

  private static final long SECOND = 1_000_000_000L;

  private static final InstanceId SELF = InstanceId.of("self");
  private static final InstanceId PEER = InstanceId.of("peer");

  private final PromptDirectory directory = new PromptDirectory();

  private static PromptHolder holder(String part, String engine, long prefilledNanos) {
    return new PromptHolder(new PromptPart(part, 5_000), EngineId.of(engine), prefilledNanos);
  }

  @Test
  void returnsTheMostRecentHolderFirst() {
    directory.record(SELF, holder("p", "a", 0));
    directory.record(SELF, holder("p", "b", SECOND));
    assertThat(directory.holders(SECOND, "p"), contains(EngineId.of("b"), EngineId.of("a")));
  }

  @Test
  void doesNotRecordShortParts() {
    directory.record(SELF, new PromptHolder(new PromptPart("p", 90), EngineId.of("a"), 0));
    assertThat(directory.holders(0, "p"), is(empty()));
  }

  @Test
  void dropsOldEntries() {
    directory.record(SELF, holder("p", "a", 0));
    assertThat(directory.holders(60 * SECOND, "p"), is(empty()));
  }

  @Test
  void dropsTheEntriesOfAnEngine() {
    directory.record(SELF, holder("p", "a", 0));
    directory.forget(EngineId.of("a"));
    assertThat(directory.holders(0, "p"), is(empty()));
  }

  @Test
  void reportsNewEntriesOnce() {
    assertThat(directory.record(SELF, holder("p", "a", 0)), is(true));
    assertThat(directory.record(SELF, holder("p", "a", 1)), is(false));
    assertThat(directory.recordedAfter(0, PEER, 9), hasSize(1));
    assertThat(directory.recordedAfter(directory.lastChange(), PEER, 9), is(empty()));
  }

  @Test
  void doesNotReportEntriesToTheInstanceTheyCameFrom() {
    directory.record(PEER, holder("p", "a", 0));
    assertThat(directory.recordedAfter(0, PEER, 9), is(empty()));
    assertThat(directory.recordedAfter(0, SELF, 9), hasSize(1));
  }

  @Test
  void reportsTheNewestEntriesIfThereAreTooMany() {
    directory.record(SELF, holder("p", "a", 0));
    directory.record(SELF, holder("q", "a", 0));
    assertThat(directory.recordedAfter(0, PEER, 1), contains(holder("q", "a", 0)));
  }

  @Test
  void forgetsExpiredEntries() {
    directory.record(SELF, holder("p", "a", 0));
    directory.dropExpired(60 * SECOND);
    assertThat(directory.recordedAfter(0, PEER, 9), is(empty()));
  }
}
