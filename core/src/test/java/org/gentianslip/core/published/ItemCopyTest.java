package org.gentianslip.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against items that stay in use for ever after a copy of them was taken. */
@DisplayName("A store of published items that copies another one")
class ItemCopyTest {

  private static final long DELAY_NANOS = 100;
  private static final long CONFIRMATION_NANOS = 500;
  private static final String KEY = "leased/a";
  private static final String OTHER_KEY = "leased/b";

  private final PublishedItemStore source = newStore();
  private final PublishedItemStore copy = newStore();

  /** All items have a lease; the first byte of a value is its writer's count. */
  private static final class TestSchema implements ItemSchema {

    @Override
    public boolean isLeased(String key) {
      return true;
    }

    @Override
    public Optional<WriterSequence> sequence(PublishedItem item) {
      return Optional.of(new WriterSequence(0, item.value()[0]));
    }
  }

  private static PublishedItemStore newStore() {
    return new PublishedItemStore(new TestSchema(), DELAY_NANOS, CONFIRMATION_NANOS);
  }

  private static PublishedItem item(String key, int count, long era, long revision) {
    return new PublishedItem(key, new byte[] {(byte) count}, Revision.of(era, revision));
  }

  private static List<String> keys(PublishedItemStore store) {
    return store.items().stream().map(PublishedItem::key).toList();
  }

  private static void write(PublishedItemStore store, PublishedItem item) {
    store.apply(0, List.of(new ItemChange.Written(item)), item.revision(), false);
  }

  private static void remove(
      PublishedItemStore store, long nowNanos, Revision at, boolean afterOutage) {
    store.apply(nowNanos, List.of(new ItemChange.Removed(KEY, at)), at, afterOutage);
  }

  @Nested
  @DisplayName("while a removal is delayed there")
  class OfDelayedRemoval {

    private static final long REMOVED_NANOS = 1_000;

    @BeforeEach
    void removeAfterOutage() {
      write(source, item(KEY, 1, 1, 4));
      write(source, item(OTHER_KEY, 1, 1, 5));
      remove(source, REMOVED_NANOS, Revision.of(1, 6), true);
    }

    @Test
    void usesTheItemForTheRestOfTheDelay() {
      copy.replace(REMOVED_NANOS + 40, source.snapshot(REMOVED_NANOS + 40), false);
      copy.expire(REMOVED_NANOS + DELAY_NANOS - 1);
      assertThat(keys(copy), containsInAnyOrder(KEY, OTHER_KEY));
    }

    @Test
    void removesTheItemWhenTheDelayHasPassed() {
      copy.replace(REMOVED_NANOS + 40, source.snapshot(REMOVED_NANOS + 40), false);
      assertThat(copy.expire(REMOVED_NANOS + DELAY_NANOS), is(true));
      assertThat(keys(copy), containsInAnyOrder(OTHER_KEY));
    }

    @Test
    void removesTheItemThroughCopiesOfTheCopy() {
      PublishedItemStore second = newStore();
      copy.replace(REMOVED_NANOS + 40, source.snapshot(REMOVED_NANOS + 40), false);
      second.replace(REMOVED_NANOS + 60, copy.snapshot(REMOVED_NANOS + 60), true);
      second.expire(REMOVED_NANOS + DELAY_NANOS);
      assertThat(keys(second), containsInAnyOrder(OTHER_KEY));
    }

    @Test
    void removesAnOverdueItemAtTheNextExpiry() {
      long late = REMOVED_NANOS + 2 * DELAY_NANOS;
      copy.replace(late, source.snapshot(late), true);
      copy.expire(late);
      assertThat(keys(copy), containsInAnyOrder(OTHER_KEY));
    }

    @Test
    void keepsTheEarlierTimeOfItsOwnRemoval() {
      write(copy, item(KEY, 1, 1, 4));
      remove(copy, REMOVED_NANOS - 30, Revision.of(1, 6), true);
      copy.replace(REMOVED_NANOS, source.snapshot(REMOVED_NANOS), true);
      copy.expire(REMOVED_NANOS - 30 + DELAY_NANOS);
      assertThat(keys(copy), containsInAnyOrder(OTHER_KEY));
    }

    @Test
    void keepsTheItemIfItIsWrittenAgain() {
      copy.replace(REMOVED_NANOS, source.snapshot(REMOVED_NANOS), false);
      write(copy, item(KEY, 2, 1, 7));
      copy.expire(REMOVED_NANOS + DELAY_NANOS);
      assertThat(keys(copy), containsInAnyOrder(KEY, OTHER_KEY));
    }

    @Test
    void doesNotTakeBackItemsThatItHasRemoved() {
      write(copy, item(KEY, 1, 1, 4));
      remove(copy, REMOVED_NANOS, Revision.of(1, 6), false);
      copy.replace(REMOVED_NANOS, source.snapshot(REMOVED_NANOS), false);
      assertThat(keys(copy), containsInAnyOrder(OTHER_KEY));
    }

    @Test
    void ignoresOlderCopies() {
      write(copy, item(KEY, 2, 1, 9));
      copy.replace(REMOVED_NANOS, source.snapshot(REMOVED_NANOS), false);
      copy.expire(REMOVED_NANOS + DELAY_NANOS);
      assertThat(keys(copy), containsInAnyOrder(KEY));
    }
  }

  @Nested
  @DisplayName("while an item of a restored publisher is unconfirmed there")
  class OfUnconfirmedItem {

    private static final long RESTORED_NANOS = 2_000;

    @BeforeEach
    void restoreRemovedItem() {
      write(source, item(KEY, 7, 1, 20));
      remove(source, 0, Revision.of(1, 51), false);
      source.replace(RESTORED_NANOS, List.of(item(KEY, 7, 2, 20)), Revision.of(2, 40), true);
    }

    private void copyAt(long nowNanos) {
      copy.replace(nowNanos, source.snapshot(nowNanos), false);
    }

    @Test
    void doesNotUseTheItemYet() {
      copyAt(RESTORED_NANOS);
      copy.expire(RESTORED_NANOS + CONFIRMATION_NANOS - 1);
      assertThat(keys(copy), is(empty()));
    }

    @Test
    void usesTheItemWhenItIsConfirmed() {
      copyAt(RESTORED_NANOS + 100);
      assertThat(copy.expire(RESTORED_NANOS + CONFIRMATION_NANOS), is(true));
      assertThat(keys(copy), containsInAnyOrder(KEY));
    }

    @Test
    void removesTheItemThatItKnowsFromTheEraBefore() {
      write(copy, item(KEY, 7, 1, 20));
      copyAt(RESTORED_NANOS);
      assertThat(keys(copy), is(empty()));
    }

    @Test
    void keepsLaterValuesOfTheItem() {
      write(copy, item(KEY, 8, 1, 49));
      copyAt(RESTORED_NANOS);
      assertThat(keys(copy), containsInAnyOrder(KEY));
    }

    @Test
    void doesNotUseTheItemWhenThePublisherIsListed() {
      copyAt(RESTORED_NANOS);
      copy.replace(RESTORED_NANOS, List.of(item(KEY, 7, 2, 20)), Revision.of(2, 41), false);
      assertThat(keys(copy), is(empty()));
    }
  }
}
