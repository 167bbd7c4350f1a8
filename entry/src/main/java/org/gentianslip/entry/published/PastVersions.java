package org.gentianslip.entry.published;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.ItemChange;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.published.WriterSequence;

/**
 * The versions that the changes of a publisher's past show. Immutable and thread-safe.
 *
 * @param nanos how long before the last change these are all that there were, in nanoseconds
 * @param seen the versions of each service
 */
record PastVersions(long nanos, Map<ServiceId, Set<Optional<SoftwareVersion>>> seen) {

  /** The heartbeats that come in the time of ten intervals, at most, in tenths of an interval. */
  private static final double MIN_INTERVAL_SHARE = 0.9;

  /** The longest past that is believed. */
  private static final long MAX_NANOS = TimeUnit.MINUTES.toNanos(5);

  /**
   * Returns what changes show.
   *
   * <p>A backend server that was there before its first change, and of which nothing is known, may
   * have had any version. Only what followed the last such change counts. The time is told by the
   * counts of the backend servers, each of which writes once in an interval.
   *
   * @param changes the changes in order
   * @param listing items that were read after the first change
   * @param heartbeatMillis the interval at which a backend server writes, in milliseconds
   */
  static PastVersions of(
      ItemDecoder decoder,
      List<ItemChange> changes,
      List<PublishedItem> listing,
      long heartbeatMillis) {
    Map<ServiceId, Set<Optional<SoftwareVersion>>> seen = new HashMap<>();
    Map<String, Revision> listed = new HashMap<>();
    listing.forEach(i -> listed.put(i.key(), i.revision()));
    Set<String> known = new HashSet<>();
    Map<Writer, Long> firstCounts = new HashMap<>();
    long maxBeats = 0;
    for (ItemChange change : changes) {
      if (!decoder.isLeased(change.key())) {
        continue;
      }
      boolean first = known.add(change.key());
      if (change instanceof ItemChange.Written written) {
        Optional<Backend> backend = decoder.decodeBackend(written.item());
        Optional<WriterSequence> count = decoder.sequence(written.item());
        if (first && !written.created() && mayReplaceAnother(count)) {
          firstCounts.clear();
          maxBeats = 0;
        }
        if (backend.isEmpty()) {
          continue;
        }
        seen.computeIfAbsent(backend.get().service(), s -> new HashSet<>())
            .add(backend.get().version());
        if (count.isPresent()) {
          var writer = new Writer(change.key(), count.get().start());
          Long firstCount = firstCounts.putIfAbsent(writer, count.get().number());
          maxBeats = Math.max(maxBeats, firstCount == null ? 0 : count.get().number() - firstCount);
        }
      } else if (first && !wasListedBefore(listed.get(change.key()), change.revision())) {
        firstCounts.clear();
        maxBeats = 0;
      }
    }
    double millis = MIN_INTERVAL_SHARE * heartbeatMillis * maxBeats;
    return new PastVersions((long) Math.min(MAX_NANOS, millis * 1e6), seen);
  }

  /** One start of a backend server. */
  private record Writer(String key, long start) {}

  /** Returns whether an item may be the first of its writer, so that another one wrote before. */
  private static boolean mayReplaceAnother(Optional<WriterSequence> count) {
    return count.isEmpty() || count.get().number() <= 1;
  }

  private static boolean wasListedBefore(Revision listed, Revision removed) {
    return listed != null && removed.isAfter(listed);
  }
}
