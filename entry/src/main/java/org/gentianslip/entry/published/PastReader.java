package org.gentianslip.entry.published;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.stream.VersionHistory;

/**
 * Reads from a publisher's history which versions there were before a listing.
 *
 * <p>Makes at most one call for each of a few lengths of the past. Used by one thread at a time.
 */
final class PastReader {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** How far back the calls reach at most, one after another, in milliseconds. */
  private static final long[] PAST_MILLIS = {24_000, 19_000, 12_000};

  private final PublishedSource source;
  private final ItemDecoder decoder;
  private final long heartbeatMillis;

  /**
   * Creates a reader.
   *
   * @param heartbeatMillis the interval at which a backend server writes, in milliseconds; 0 if it
   *     is not known, and then nothing is read
   */
  PastReader(PublishedSource source, ItemDecoder decoder, long heartbeatMillis) {
    this.source = source;
    this.decoder = decoder;
    this.heartbeatMillis = heartbeatMillis;
  }

  /**
   * Extends a history by what was published before a listing.
   *
   * @param listedNanos when the history was started anew with the listing
   */
  void extend(VersionHistory history, PublishedSource.Listing listing, long listedNanos) {
    if (heartbeatMillis <= 0) {
      return;
    }
    long servers = listing.items().stream().filter(i -> decoder.isLeased(i.key())).count();
    long last = Long.MAX_VALUE;
    int calls = 0;
    try {
      for (long millis : PAST_MILLIS) {
        long back = Math.max(1, servers) * (millis / heartbeatMillis + 1);
        long after = Math.max(0, listing.revision().number() - back);
        if (after == last) {
          continue;
        }
        last = after;
        calls++;
        PublishedSource.Changes changes =
            source.history(Revision.of(listing.revision().era(), after));
        if (!changes.historyLost()) {
          apply(history, listing, changes, listedNanos, after, calls);
          return;
        }
      }
      LOGGER.atInfo().log(
          "published: event=no-past revision=%s calls=%s cause=not available",
          listing.revision(), calls);
    } catch (IOException e) {
      LOGGER.atInfo().log(
          "published: event=no-past revision=%s calls=%s cause=%s", listing.revision(), calls, e);
    }
  }

  private void apply(
      VersionHistory history,
      PublishedSource.Listing listing,
      PublishedSource.Changes changes,
      long listedNanos,
      long after,
      int calls) {
    PastVersions past =
        PastVersions.of(decoder, changes.changes(), listing.items(), heartbeatMillis);
    long now = System.nanoTime();
    Map<ServiceId, Map<Optional<SoftwareVersion>, Long>> seen = new HashMap<>();
    past.seen()
        .forEach(
            (service, versions) -> {
              Map<Optional<SoftwareVersion>, Long> times = new HashMap<>();
              versions.forEach(v -> times.put(v, now));
              seen.put(service, times);
            });
    history.extend(listedNanos, now - past.nanos(), seen);
    LOGGER.atInfo().log(
        "published: event=past revision=%s after=%s changes=%s calls=%s past_ms=%s",
        listing.revision(),
        after,
        changes.changes().size(),
        calls,
        TimeUnit.NANOSECONDS.toMillis(past.nanos()));
  }
}
