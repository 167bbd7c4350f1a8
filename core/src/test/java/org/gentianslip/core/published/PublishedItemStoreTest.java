package org.gentianslip.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A store of published items")
class PublishedItemStoreTest {

  private static final long DELAY_NANOS = 100;

  private final PublishedItemStore store =
      new PublishedItemStore(key -> key.startsWith("leased/"), DELAY_NANOS);

  private static PublishedItem item(String key, long revision) {
    return new PublishedItem(key, new byte[] {1}, revision);
  }

  private static ItemChange written(String key, long revision) {
    return new ItemChange.Written(item(key, revision));
  }

  private List<String> keys() {
    return store.items().stream().map(PublishedItem::key).toList();
  }

  @Nested
  @DisplayName("with changes")
  class WithChanges {

    @Test
    void appliesWrites() {
      store.apply(0, List.of(written("a", 1), written("b", 2)), 2, false);
      assertThat(keys(), containsInAnyOrder("a", "b"));
    }

    @Test
    void ignoresOlderWrites() {
      store.apply(0, List.of(written("a", 5)), 5, false);
      assertThat(store.apply(0, List.of(written("a", 4)), 4, false), is(false));
      assertThat(store.items().iterator().next().revision(), is(5L));
    }

    @Test
    void ignoresWritesFromBeforeTheRemoval() {
      store.apply(0, List.of(written("a", 5)), 5, false);
      store.apply(0, List.of(new ItemChange.Removed("a", 7)), 7, false);
      store.apply(0, List.of(written("a", 6)), 6, false);
      assertThat(keys(), is(empty()));
    }

    @Test
    void appliesWritesFromAfterTheRemoval() {
      store.apply(0, List.of(written("a", 5)), 5, false);
      store.apply(0, List.of(new ItemChange.Removed("a", 7)), 7, false);
      store.apply(0, List.of(written("a", 8)), 8, false);
      assertThat(keys(), containsInAnyOrder("a"));
    }

    @Test
    void neverGoesBackToAnOlderRevision() {
      store.apply(0, List.of(), 9, false);
      store.apply(0, List.of(), 3, false);
      assertThat(store.revision(), is(9L));
    }
  }

  @Nested
  @DisplayName("with a listing")
  class WithListing {

    @Test
    void removesItemsThatTheListingLacks() {
      store.apply(0, List.of(written("a", 1), written("b", 2)), 2, false);
      store.replace(0, List.of(item("b", 2)), 3, false);
      assertThat(keys(), containsInAnyOrder("b"));
    }

    @Test
    void ignoresOlderListings() {
      store.apply(0, List.of(written("a", 5)), 5, false);
      assertThat(store.replace(0, List.of(), 4, false), is(false));
      assertThat(keys(), containsInAnyOrder("a"));
    }
  }

  @Nested
  @DisplayName("after an outage of the publisher")
  class AfterOutage {

    @Test
    void keepsLeasedItemsDuringTheDelay() {
      store.apply(0, List.of(written("leased/a", 1)), 1, false);
      store.apply(10, List.of(new ItemChange.Removed("leased/a", 2)), 2, true);
      store.expire(10 + DELAY_NANOS - 1);
      assertThat(keys(), containsInAnyOrder("leased/a"));
    }

    @Test
    void removesLeasedItemsThatDoNotReappear() {
      store.apply(0, List.of(written("leased/a", 1)), 1, false);
      store.apply(10, List.of(new ItemChange.Removed("leased/a", 2)), 2, true);
      assertThat(store.expire(10 + DELAY_NANOS), is(true));
      assertThat(keys(), is(empty()));
    }

    @Test
    void keepsLeasedItemsThatReappear() {
      store.apply(0, List.of(written("leased/a", 1)), 1, false);
      store.apply(10, List.of(new ItemChange.Removed("leased/a", 2)), 2, true);
      store.apply(20, List.of(written("leased/a", 3)), 3, true);
      store.expire(10 + DELAY_NANOS);
      assertThat(keys(), containsInAnyOrder("leased/a"));
    }

    @Test
    void removesOtherItemsAtOnce() {
      store.apply(0, List.of(written("a", 1)), 1, false);
      store.apply(10, List.of(new ItemChange.Removed("a", 2)), 2, true);
      assertThat(keys(), is(empty()));
    }
  }

  @Test
  void removesLeasedItemsAtOnceWhileThePublisherIsAvailable() {
    store.apply(0, List.of(written("leased/a", 1)), 1, false);
    store.apply(10, List.of(new ItemChange.Removed("leased/a", 2)), 2, false);
    assertThat(keys(), is(empty()));
  }
}
