package org.gentianslip.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A store of published items")
class PublishedItemStoreTest {

  private static final long DELAY_NANOS = 100;

  private static final long CONFIRMATION_NANOS = 500;
  private static final byte UNCOUNTED = 0;

  private final PublishedItemStore store =
      new PublishedItemStore(new TestSchema(), DELAY_NANOS, CONFIRMATION_NANOS);

  /** The first byte of a value is its writer's count. */
  private static final class TestSchema implements ItemSchema {

    @Override
    public boolean isLeased(String key) {
      return key.startsWith("leased/");
    }

    @Override
    public Optional<WriterSequence> sequence(PublishedItem item) {
      byte count = item.value()[0];
      return count == UNCOUNTED ? Optional.empty() : Optional.of(new WriterSequence(0, count));
    }
  }

  private static PublishedItem item(String key, long revision) {
    return item(key, 1, 1, revision);
  }

  private static PublishedItem item(String key, int count, long era, long revision) {
    return new PublishedItem(key, new byte[] {(byte) count}, Revision.of(era, revision));
  }

  private static ItemChange written(String key, long revision) {
    return new ItemChange.Written(item(key, revision));
  }

  private static ItemChange removed(String key, long revision) {
    return new ItemChange.Removed(key, at(revision));
  }

  private static Revision at(long revision) {
    return Revision.of(1, revision);
  }

  private List<String> keys() {
    return store.items().stream().map(PublishedItem::key).toList();
  }

  @Nested
  @DisplayName("with changes")
  class WithChanges {

    @Test
    void appliesWrites() {
      store.apply(0, List.of(written("a", 1), written("b", 2)), at(2), false);
      assertThat(keys(), containsInAnyOrder("a", "b"));
    }

    @Test
    void ignoresOlderWrites() {
      store.apply(0, List.of(written("a", 5)), at(5), false);
      assertThat(store.apply(0, List.of(written("a", 4)), at(4), false), is(false));
      assertThat(store.items().iterator().next().revision(), is(at(5)));
    }

    @Test
    void ignoresWritesFromBeforeTheRemoval() {
      store.apply(0, List.of(written("a", 5)), at(5), false);
      store.apply(0, List.of(removed("a", 7)), at(7), false);
      store.apply(0, List.of(written("a", 6)), at(6), false);
      assertThat(keys(), is(empty()));
    }

    @Test
    void appliesWritesFromAfterTheRemoval() {
      store.apply(0, List.of(written("a", 5)), at(5), false);
      store.apply(0, List.of(removed("a", 7)), at(7), false);
      store.apply(0, List.of(written("a", 8)), at(8), false);
      assertThat(keys(), containsInAnyOrder("a"));
    }

    @Test
    void remembersOnlySoManyRemovals() {
      store.apply(0, List.of(removed("first", 5)), at(5), false);
      for (int i = 1; i < RemovalHistory.MAX_REMOVALS; i++) {
        store.apply(0, List.of(removed("k" + i, 5 + i)), at(5 + i), false);
      }
      store.apply(0, List.of(written("first", 4)), at(4), false);
      assertThat(keys(), is(empty()));
      store.apply(0, List.of(removed("last", 20_000)), at(20_000), false);
      store.apply(0, List.of(written("first", 4), written("last", 4)), at(4), false);
      assertThat(keys(), containsInAnyOrder("first"));
    }

    @Test
    void neverGoesBackToAnOlderRevision() {
      store.apply(0, List.of(), at(9), false);
      store.apply(0, List.of(), at(3), false);
      assertThat(store.revision(), is(at(9)));
    }
  }

  @Nested
  @DisplayName("with a listing")
  class WithListing {

    @Test
    void removesItemsThatTheListingLacks() {
      store.apply(0, List.of(written("a", 1), written("b", 2)), at(2), false);
      store.replace(0, List.of(item("b", 2)), at(3), false);
      assertThat(keys(), containsInAnyOrder("b"));
    }

    @Test
    void ignoresOlderListings() {
      store.apply(0, List.of(written("a", 5)), at(5), false);
      assertThat(store.replace(0, List.of(), at(4), false), is(false));
      assertThat(keys(), containsInAnyOrder("a"));
    }
  }

  @Nested
  @DisplayName("after an outage of the publisher")
  class AfterOutage {

    @Test
    void keepsLeasedItemsDuringTheDelay() {
      store.apply(0, List.of(written("leased/a", 1)), at(1), false);
      store.apply(10, List.of(removed("leased/a", 2)), at(2), true);
      store.expire(10 + DELAY_NANOS - 1);
      assertThat(keys(), containsInAnyOrder("leased/a"));
    }

    @Test
    void removesLeasedItemsThatDoNotReappear() {
      store.apply(0, List.of(written("leased/a", 1)), at(1), false);
      store.apply(10, List.of(removed("leased/a", 2)), at(2), true);
      assertThat(store.expire(10 + DELAY_NANOS), is(true));
      assertThat(keys(), is(empty()));
    }

    @Test
    void keepsLeasedItemsThatReappear() {
      store.apply(0, List.of(written("leased/a", 1)), at(1), false);
      store.apply(10, List.of(removed("leased/a", 2)), at(2), true);
      store.apply(20, List.of(written("leased/a", 3)), at(3), true);
      store.expire(10 + DELAY_NANOS);
      assertThat(keys(), containsInAnyOrder("leased/a"));
    }

    @Test
    void removesOtherItemsAtOnce() {
      store.apply(0, List.of(written("a", 1)), at(1), false);
      store.apply(10, List.of(removed("a", 2)), at(2), true);
      assertThat(keys(), is(empty()));
    }
  }

  @Nested
  @DisplayName("of a publisher that was restored from an older copy")
  class OfRestoredPublisher {

    private static final int KNOWN_REVISION = 50;
    private static final int COPY_REVISION = 40;

    private void know(PublishedItem... items) {
      store.replace(0, List.of(items), at(KNOWN_REVISION), false);
    }

    private void restore(PublishedItem... items) {
      store.replace(0, List.of(items), Revision.of(2, COPY_REVISION), true);
    }

    private void write(PublishedItem item) {
      store.apply(0, List.of(new ItemChange.Written(item)), item.revision(), true);
    }

    private int count(String key) {
      return store.items().stream()
          .filter(i -> i.key().equals(key))
          .mapToInt(i -> i.value()[0])
          .findFirst()
          .orElseThrow();
    }

    @Test
    void appliesItsListingsAlthoughTheirRevisionsAreSmaller() {
      know(item("a", 1, 1, 5));
      restore(item("a", 1, 1, 5), item("b", 1, 2, 30));
      assertThat(keys(), containsInAnyOrder("a", "b"));
      assertThat(store.revision(), is(Revision.of(2, COPY_REVISION)));
    }

    @Test
    void keepsNewerValuesThanThoseOfTheCopy() {
      know(item("a", 7, 1, 45));
      restore(item("a", 4, 2, 20));
      assertThat(count("a"), is(7));
    }

    @Test
    void appliesNewerValuesWithSmallerRevisions() {
      know(item("a", 7, 1, 45));
      restore(item("a", 4, 2, 20));
      write(item("a", 8, 2, 41));
      assertThat(count("a"), is(8));
    }

    @Test
    void appliesValuesOfTheNewEraWhoseWriterCountsFromTheStartAgain() {
      know(item("a", 7, 1, 45), item("leased/b", 7, 1, 46));
      store.apply(0, List.of(removed("leased/b", 51)), at(51), false);
      restore(item("a", 4, 2, 20), item("leased/b", 7, 2, 21));
      write(item("a", 1, 2, 41));
      write(item("leased/b", 1, 2, 42));
      assertThat(count("a"), is(1));
      assertThat(count("leased/b"), is(1));
    }

    @Test
    void appliesNewerValuesWithEqualRevisions() {
      know(item("a", 7, 1, 45));
      restore(item("a", 4, 2, 20));
      write(item("a", 8, 2, 45));
      assertThat(count("a"), is(8));
    }

    @Test
    void removesItemsThatAreRemovedInTheNewEra() {
      know(item("leased/a", 7, 1, 45));
      restore(item("leased/a", 4, 2, 20));
      ItemChange removal = new ItemChange.Removed("leased/a", Revision.of(2, 41));
      store.apply(0, List.of(removal), removal.revision(), false);
      assertThat(keys(), is(empty()));
    }

    @Test
    void keepsItemsThatTheCopyLacksDuringTheDelay() {
      know(item("a", UNCOUNTED, 1, 45));
      restore();
      store.expire(DELAY_NANOS - 1);
      assertThat(keys(), containsInAnyOrder("a"));
      store.expire(DELAY_NANOS);
      assertThat(keys(), is(empty()));
    }

    @Test
    void keepsItemsThatTheCopyLacksDuringTheDelayIfTheCopyIsListedAgain() {
      know(item("a", UNCOUNTED, 1, 45));
      restore();
      store.replace(10, List.of(), Revision.of(2, COPY_REVISION), false);
      assertThat(keys(), containsInAnyOrder("a"));
      store.expire(DELAY_NANOS);
      assertThat(keys(), is(empty()));
    }

    @Test
    void keepsItemsThatTheCopyLacksIfTheyAreWrittenAgain() {
      know(item("a", UNCOUNTED, 1, 45));
      restore();
      write(item("a", UNCOUNTED, 2, 41));
      store.expire(DELAY_NANOS);
      assertThat(keys(), containsInAnyOrder("a"));
    }

    @Test
    void doesNotUseRemovedItemsOfTheCopy() {
      know(item("leased/a", 7, 1, 20));
      store.apply(0, List.of(removed("leased/a", 51)), at(51), false);
      restore(item("leased/a", 7, 2, 20));
      store.expire(CONFIRMATION_NANOS - 1);
      assertThat(keys(), is(empty()));
    }

    @Test
    void doesNotUseRemovedItemsOfTheCopyThatAreRemovedAgain() {
      know(item("leased/a", 7, 1, 20));
      store.apply(0, List.of(removed("leased/a", 51)), at(51), false);
      restore(item("leased/a", 7, 2, 20));
      ItemChange removal = new ItemChange.Removed("leased/a", Revision.of(2, 41));
      store.apply(10, List.of(removal), removal.revision(), true);
      store.expire(CONFIRMATION_NANOS);
      assertThat(keys(), is(empty()));
    }

    @Test
    void usesRemovedItemsThatAreWrittenAgain() {
      know(item("leased/a", 7, 1, 20));
      store.apply(0, List.of(removed("leased/a", 51)), at(51), false);
      restore(item("leased/a", 7, 2, 20));
      write(item("leased/a", 8, 2, 41));
      assertThat(keys(), containsInAnyOrder("leased/a"));
    }

    @Test
    void usesRemovedItemsThatOutliveTheirLease() {
      know(item("leased/a", 7, 1, 20));
      store.apply(0, List.of(removed("leased/a", 51)), at(51), false);
      restore(item("leased/a", 7, 2, 20));
      assertThat(store.expire(CONFIRMATION_NANOS), is(true));
      assertThat(keys(), containsInAnyOrder("leased/a"));
    }

    @Test
    void ignoresListingsOfAnEarlierEra() {
      restore(item("a", 1, 2, 20));
      store.replace(0, List.of(), at(KNOWN_REVISION), false);
      assertThat(keys(), containsInAnyOrder("a"));
    }

    @Test
    void appliesNewerValuesOfAnEarlierEra() {
      restore(item("a", 4, 2, 20));
      store.replace(0, List.of(item("a", 7, 1, 45)), Revision.of(2, COPY_REVISION + 1), false);
      assertThat(count("a"), is(7));
    }
  }

  @Test
  void removesLeasedItemsAtOnceWhileThePublisherIsAvailable() {
    store.apply(0, List.of(written("leased/a", 1)), at(1), false);
    store.apply(10, List.of(removed("leased/a", 2)), at(2), false);
    assertThat(keys(), is(empty()));
  }
}
