package org.gentianslip.entry.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.ItemChange;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.published.WriterSequence;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The versions of the past")
class PastVersionsTest {

  private static final ServiceId FARM = ServiceId.of("farm");

  private final List<ItemChange> changes = new ArrayList<>();
  private final List<PublishedItem> listing = new ArrayList<>();
  private long revision = 10;

  private PublishedItem item(String key, String version, int start, int count) {
    byte[] value = (version + " " + start + " " + count).getBytes(StandardCharsets.UTF_8);
    return new PublishedItem(key, value, Revision.of(1, ++revision));
  }

  private void write(String key, String version, int start, int count) {
    changes.add(new ItemChange.Written(item(key, version, start, count)));
  }

  private void writeBeats(int from, int to) {
    for (int i = from; i <= to; i++) {
      write("a", "4.1", 1, i);
    }
  }

  private void remove(String key) {
    changes.add(new ItemChange.Removed(key, Revision.of(1, ++revision)));
  }

  private PastVersions past() {
    return PastVersions.of(new SpacedDecoder(), changes, listing, 1_000);
  }

  private long pastMillis() {
    return TimeUnit.NANOSECONDS.toMillis(past().nanos());
  }

  @Test
  void coverTheLongestTimeThatOneServerHasCounted() {
    write("b", "4.1", 1, 100);
    writeBeats(5, 15);
    write("b", "4.1", 1, 102);
    assertThat(pastMillis(), is(9_000L));
  }

  @Test
  void coverNoTimeBetweenTwoStartsOfServer() {
    write("a", "4.1", 1, 5);
    write("a", "4.1", 2, 50);
    assertThat(pastMillis(), is(0L));
  }

  @Test
  void containThoseOfServersThatLeft() {
    write("b", "4.2", 1, 100);
    writeBeats(5, 15);
    remove("b");
    assertThat(pastMillis(), is(9_000L));
    Set<Optional<SoftwareVersion>> both =
        Set.of(Optional.of(SoftwareVersion.of("4.1")), Optional.of(SoftwareVersion.of("4.2")));
    assertThat(past().seen(), is(Map.of(FARM, both)));
  }

  @Test
  void beginAfterServerOfUnknownVersionLeft() {
    writeBeats(5, 15);
    remove("b");
    writeBeats(16, 26);
    assertThat(pastMillis(), is(9_000L));
  }

  @Test
  void beginAfterServerThatMayHaveReplacedAnother() {
    writeBeats(5, 15);
    write("b", "4.1", 1, 1);
    writeBeats(16, 26);
    assertThat(pastMillis(), is(9_000L));
  }

  @Test
  void reachBackBeforeServerThatReplacedNone() {
    writeBeats(5, 15);
    changes.add(new ItemChange.Written(item("b", "4.1", 1, 1), true));
    writeBeats(16, 25);
    assertThat(pastMillis(), is(18_000L));
  }

  @Test
  void reachBackBeforeServerThatWasListedAndLeft() {
    writeBeats(5, 15);
    listing.add(item("b", "4.2", 1, 100));
    remove("b");
    writeBeats(16, 25);
    assertThat(pastMillis(), is(18_000L));
  }

  /** Decodes values that consist of a version, a start and a count. */
  private static final class SpacedDecoder implements ItemDecoder {

    private static List<String> words(PublishedItem item) {
      return List.of(new String(item.value(), StandardCharsets.UTF_8).split(" ", -1));
    }

    @Override
    public boolean isLeased(String key) {
      return true;
    }

    @Override
    public Optional<WriterSequence> sequence(PublishedItem item) {
      List<String> words = words(item);
      return Optional.of(
          new WriterSequence(Long.parseLong(words.get(1)), Long.parseLong(words.get(2))));
    }

    @Override
    public PublishedState decode(Collection<PublishedItem> items, Revision revision) {
      return PublishedState.NONE;
    }

    @Override
    public Optional<Backend> decodeBackend(PublishedItem item) {
      return Optional.of(
          new Backend(
              EngineId.of(item.key()),
              FARM,
              "10.0.0.1:80",
              DataCentreId.of("a"),
              1,
              false,
              0,
              0,
              Optional.of(SoftwareVersion.of(words(item).get(0)))));
    }
  }
}
