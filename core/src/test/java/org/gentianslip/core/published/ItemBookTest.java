package org.gentianslip.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("An item book")
class ItemBookTest {

  private static final long HOLD = 100;

  private final PublishedItemStore book =
      new PublishedItemStore(key -> key.startsWith("leased/"), HOLD);

  private static PublishedItem item(String key, long revision) {
    return new PublishedItem(key, new byte[] {1}, revision);
  }

  private static ItemChange written(String key, long revision) {
    return new ItemChange.Written(item(key, revision));
  }

  private List<String> keys() {
    return book.items().stream().map(PublishedItem::key).toList();
  }

  @Nested
  @DisplayName("with changes")
  class WithChanges {

    @Test
    void takesWhatWasWritten() {
      book.apply(0, List.of(written("a", 1), written("b", 2)), 2, false);
      assertThat(keys(), containsInAnyOrder("a", "b"));
    }

    @Test
    void dropsAnOlderWrite() {
      book.apply(0, List.of(written("a", 5)), 5, false);
      assertThat(book.apply(0, List.of(written("a", 4)), 4, false), is(false));
      assertThat(book.items().iterator().next().revision(), is(5L));
    }

    @Test
    void dropsWriteThatCameBeforeTheRemoval() {
      book.apply(0, List.of(written("a", 5)), 5, false);
      book.apply(0, List.of(new ItemChange.Removed("a", 7)), 7, false);
      book.apply(0, List.of(written("a", 6)), 6, false);
      assertThat(keys(), is(empty()));
    }

    @Test
    void takesWriteAfterTheRemoval() {
      book.apply(0, List.of(written("a", 5)), 5, false);
      book.apply(0, List.of(new ItemChange.Removed("a", 7)), 7, false);
      book.apply(0, List.of(written("a", 8)), 8, false);
      assertThat(keys(), containsInAnyOrder("a"));
    }

    @Test
    void neverGoesBackToAnOlderRevision() {
      book.apply(0, List.of(), 9, false);
      book.apply(0, List.of(), 3, false);
      assertThat(book.revision(), is(9L));
    }
  }

  @Nested
  @DisplayName("with a listing")
  class WithListing {

    @Test
    void removesWhatItLacks() {
      book.apply(0, List.of(written("a", 1), written("b", 2)), 2, false);
      book.replace(0, List.of(item("b", 2)), 3, false);
      assertThat(keys(), containsInAnyOrder("b"));
    }

    @Test
    void ignoresAnOlderOne() {
      book.apply(0, List.of(written("a", 5)), 5, false);
      assertThat(book.replace(0, List.of(), 4, false), is(false));
      assertThat(keys(), containsInAnyOrder("a"));
    }
  }

  @Nested
  @DisplayName("after an outage of the publisher")
  class AfterOutage {

    @Test
    void keepsLeasedItemForWhile() {
      book.apply(0, List.of(written("leased/a", 1)), 1, false);
      book.apply(10, List.of(new ItemChange.Removed("leased/a", 2)), 2, true);
      book.expire(10 + HOLD - 1);
      assertThat(keys(), containsInAnyOrder("leased/a"));
    }

    @Test
    void removesItIfItDoesNotComeBack() {
      book.apply(0, List.of(written("leased/a", 1)), 1, false);
      book.apply(10, List.of(new ItemChange.Removed("leased/a", 2)), 2, true);
      assertThat(book.expire(10 + HOLD), is(true));
      assertThat(keys(), is(empty()));
    }

    @Test
    void keepsItIfItComesBack() {
      book.apply(0, List.of(written("leased/a", 1)), 1, false);
      book.apply(10, List.of(new ItemChange.Removed("leased/a", 2)), 2, true);
      book.apply(20, List.of(written("leased/a", 3)), 3, true);
      book.expire(10 + HOLD);
      assertThat(keys(), containsInAnyOrder("leased/a"));
    }

    @Test
    void removesOtherItemsAtOnce() {
      book.apply(0, List.of(written("a", 1)), 1, false);
      book.apply(10, List.of(new ItemChange.Removed("a", 2)), 2, true);
      assertThat(keys(), is(empty()));
    }
  }

  @Test
  void removesLeasedItemAtOnceWhileThePublisherIsWell() {
    book.apply(0, List.of(written("leased/a", 1)), 1, false);
    book.apply(10, List.of(new ItemChange.Removed("leased/a", 2)), 2, false);
    assertThat(keys(), is(empty()));
  }
}
