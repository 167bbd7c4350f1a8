package org.gentianslip.core.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.published.Backend;

/**
 * Which versions of their software the published backend servers of each service had, and since
 * when that is known without a gap.
 *
 * <p>A stream of a service that has had one version for longer than a stream lasts began at that
 * version. Where changes may have passed unseen, knowledge starts anew. Thread-safe.
 */
public final class VersionHistory {

  /** How long a version is remembered, which is longer than any stream lasts. */
  private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

  private final Map<ServiceId, Map<Optional<SoftwareVersion>, Long>> lastSeen = new HashMap<>();
  private Set<Key> present = Set.of();
  private boolean known;
  private long knownSinceNanos;

  /** Since when the versions were known before a gap that may still be closed. */
  private Optional<Long> beforeGapNanos = Optional.empty();

  private record Key(ServiceId service, Optional<SoftwareVersion> version) {}

  /** Records the published backend servers; those published before were present until now. */
  public synchronized void apply(long nowNanos, Collection<Backend> published) {
    if (!known) {
      known = true;
      knownSinceNanos = nowNanos;
    }
    Set<Key> next = new HashSet<>();
    published.forEach(b -> next.add(new Key(b.service(), b.version())));
    present.forEach(key -> see(key, nowNanos));
    next.forEach(key -> see(key, nowNanos));
    present = next;
    lastSeen.values().forEach(v -> v.values().removeIf(n -> nowNanos - n > RETENTION_NANOS));
    lastSeen.values().removeIf(Map::isEmpty);
  }

  private void see(Key key, long nanos) {
    lastSeen
        .computeIfAbsent(key.service(), s -> new HashMap<>())
        .merge(key.version(), nanos, (a, b) -> a - b > 0 ? a : b);
  }

  /** Records backend servers that were published, and may not be any more. */
  public synchronized void recordSeen(long nowNanos, Collection<Backend> seen) {
    seen.forEach(b -> see(new Key(b.service(), b.version()), nowNanos));
  }

  /** Discards since when the versions are known, as changes may have passed unseen until now. */
  public synchronized void startAnew(long nowNanos) {
    known = true;
    knownSinceNanos = nowNanos;
    beforeGapNanos = Optional.empty();
  }

  /** Records that changes may have passed that are not seen yet. */
  public synchronized void markGap(long nowNanos) {
    if (known && beforeGapNanos.isEmpty()) {
      beforeGapNanos = Optional.of(knownSinceNanos);
    }
    known = true;
    knownSinceNanos = nowNanos;
  }

  /** Records that all changes in the gaps since the last new start have been seen. */
  public synchronized void closeGap() {
    beforeGapNanos.ifPresent(nanos -> knownSinceNanos = nanos);
    beforeGapNanos = Optional.empty();
  }

  /**
   * Adds what was published before this instance knew of it, unless knowledge has started anew
   * since.
   *
   * @param untilNanos the new start before which it was published
   * @param sinceNanos since when the added versions are all that there were
   * @param seen the versions, each with the time when it was last published
   */
  public synchronized void extend(
      long untilNanos, long sinceNanos, Map<ServiceId, Map<Optional<SoftwareVersion>, Long>> seen) {
    seen.forEach(
        (service, versions) ->
            versions.forEach((version, nanos) -> see(new Key(service, version), nanos)));
    if (beforeGapNanos.isPresent() && beforeGapNanos.get() == untilNanos) {
      beforeGapNanos = Optional.of(earlier(sinceNanos, untilNanos));
    } else if (known && knownSinceNanos == untilNanos) {
      knownSinceNanos = earlier(sinceNanos, untilNanos);
    }
  }

  private static long earlier(long someNanos, long otherNanos) {
    return someNanos - otherNanos < 0 ? someNanos : otherNanos;
  }

  /**
   * Returns the only version that the backend servers of a service have had for some time, if there
   * was only one and all that time is known.
   */
  public synchronized Optional<SoftwareVersion> soleVersion(
      ServiceId service, long nowNanos, long windowNanos) {
    if (!isKnown(nowNanos, windowNanos)) {
      return Optional.empty();
    }
    Set<Optional<SoftwareVersion>> versions = versions(service, nowNanos, windowNanos);
    return versions.size() == 1 ? versions.iterator().next() : Optional.empty();
  }

  /** Returns whether it is known that no service has had two versions for some time. */
  public synchronized boolean hasSoleVersions(long nowNanos, long windowNanos) {
    return isKnown(nowNanos, windowNanos)
        && lastSeen.keySet().stream().allMatch(s -> versions(s, nowNanos, windowNanos).size() <= 1);
  }

  private boolean isKnown(long nowNanos, long windowNanos) {
    return known && nowNanos - knownSinceNanos >= windowNanos;
  }

  private Set<Optional<SoftwareVersion>> versions(
      ServiceId service, long nowNanos, long windowNanos) {
    Set<Optional<SoftwareVersion>> versions = new HashSet<>();
    lastSeen
        .getOrDefault(service, Map.of())
        .forEach(
            (version, nanos) -> {
              if (nowNanos - nanos <= windowNanos) {
                versions.add(version);
              }
            });
    present.stream()
        .filter(key -> key.service().equals(service))
        .forEach(key -> versions.add(key.version()));
    return versions;
  }

  /** Returns since when the versions are known without a gap, if anything is known. */
  public synchronized Optional<Long> knownSinceNanos() {
    return known ? Optional.of(knownSinceNanos) : Optional.empty();
  }
}
