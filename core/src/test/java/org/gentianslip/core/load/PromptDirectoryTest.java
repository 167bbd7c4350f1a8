package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import org.gentianslip.core.id.EngineId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A prompt directory")
class PromptDirectoryTest {

  private static final long SECOND = 1_000_000_000L;

  private final PromptDirectory directory = new PromptDirectory();

  private static PromptHolder holder(String part, String engine, long prefilledNanos) {
    return new PromptHolder(new PromptPart(part, 5_000), EngineId.of(engine), prefilledNanos);
  }

  @Test
  void returnsTheMostRecentHolderFirst() {
    directory.record(0, holder("p", "a", 0));
    directory.record(SECOND, holder("p", "b", SECOND));
    assertThat(directory.holders(SECOND, "p"), contains(EngineId.of("b"), EngineId.of("a")));
  }

  @Test
  void doesNotRecordShortParts() {
    directory.record(0, new PromptHolder(new PromptPart("p", 90), EngineId.of("a"), 0));
    assertThat(directory.holders(0, "p"), is(empty()));
  }

  @Test
  void dropsOldEntries() {
    directory.record(0, holder("p", "a", 0));
    assertThat(directory.holders(60 * SECOND, "p"), is(empty()));
  }

  @Test
  void dropsTheEntriesOfAnEngine() {
    directory.record(0, holder("p", "a", 0));
    directory.forget(EngineId.of("a"));
    assertThat(directory.holders(0, "p"), is(empty()));
  }

  @Test
  void reportsNewEntriesOnce() {
    assertThat(directory.record(0, holder("p", "a", 0)), is(true));
    assertThat(directory.record(1, holder("p", "a", 1)), is(false));
    assertThat(directory.recordedWithin(SECOND, 2 * SECOND), hasSize(1));
    assertThat(directory.recordedWithin(3 * SECOND, 2 * SECOND), is(empty()));
  }
}
