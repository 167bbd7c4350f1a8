package org.gentianslip.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.fleet.ChangeCounter;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.SoftwareVersion;

/**
 * The versions at which recent streams began, by the id of the attempt that brought the first
 * event.
 *
 * <p>An id that was recorded with two versions stands for neither. Changes are numbered, so that a
 * peer is sent only what it has not seen. Holds the {@value #MAX_STREAMS} streams that changed
 * last. Thread-safe.
 */
public final class StreamOrigins {

  /** How long the origin of a stream is remembered, which is longer than a stream lasts. */
  public static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(120);

  /** The maximum number of streams that are remembered. */
  static final int MAX_STREAMS = 65_536;

  private final ChangeCounter changes = new ChangeCounter();
  private final TreeMap<Long, Entry> byChange = new TreeMap<>();
  private final Map<String, Entry> byRequest = new HashMap<>();

  /**
   * What is known of a stream.
   *
   * @param conflicting an origin with another version, if one was recorded
   * @param source the instance that reported the last change, or empty for this one
   */
  private record Entry(
      StreamOrigin origin,
      Optional<StreamOrigin> conflicting,
      Optional<InstanceId> source,
      long change) {

    long lastBegunNanos() {
      long otherNanos = conflicting.orElse(origin).begunNanos();
      return origin.begunNanos() - otherNanos > 0 ? origin.begunNanos() : otherNanos;
    }
  }

  /**
   * Records where a stream of this instance began.
   *
   * @return whether this is new
   */
  public boolean record(StreamOrigin origin) {
    return record(Optional.empty(), origin);
  }

  /**
   * Records where a stream began.
   *
   * @param source the instance that reported it
   * @return whether this is new
   */
  public boolean record(InstanceId source, StreamOrigin origin) {
    return record(Optional.of(source), origin);
  }

  private synchronized boolean record(Optional<InstanceId> source, StreamOrigin origin) {
    Entry known = byRequest.get(origin.request());
    if (known == null) {
      put(new Entry(origin, Optional.empty(), source, changes.next()));
      if (byChange.size() > MAX_STREAMS) {
        byRequest.remove(byChange.pollFirstEntry().getValue().origin().request());
      }
      return true;
    }
    if (known.conflicting().isPresent() || known.origin().version().equals(origin.version())) {
      return false;
    }
    byChange.remove(known.change());
    put(new Entry(known.origin(), Optional.of(origin), source, changes.next()));
    return true;
  }

  private void put(Entry entry) {
    byChange.put(entry.change(), entry);
    byRequest.put(entry.origin().request(), entry);
  }

  /** Returns the version at which a stream began, if exactly one is known. */
  public synchronized Optional<SoftwareVersion> versionOf(String request) {
    return Optional.ofNullable(byRequest.get(request))
        .filter(e -> e.conflicting().isEmpty())
        .map(e -> e.origin().version());
  }

  /**
   * Returns the origins recorded after a change, the oldest change first.
   *
   * <p>What the receiver reported itself is left out unless it has received nothing yet, as it may
   * have started again and know nothing. A stream with two versions is never left out.
   *
   * @param after the number of the change
   * @param limit the maximum number of streams
   */
  public synchronized OriginBatch recordedAfter(long after, InstanceId receiver, int limit) {
    List<StreamOrigin> origins = new ArrayList<>();
    int streams = 0;
    for (Entry e : byChange.tailMap(after, false).values()) {
      boolean reported = e.source().isPresent() && e.source().get().equals(receiver);
      if (after > 0 && reported && e.conflicting().isEmpty()) {
        continue;
      }
      if (streams == limit) {
        return new OriginBatch(origins, e.change() - 1);
      }
      streams++;
      origins.add(e.origin());
      e.conflicting().ifPresent(origins::add);
    }
    return new OriginBatch(origins, changes.last());
  }

  /** Drops the streams that began before a time, up to the first that changed later. */
  public synchronized void dropBefore(long nanos) {
    var inOrderOfChange = byChange.values().iterator();
    while (inOrderOfChange.hasNext()) {
      Entry oldest = inOrderOfChange.next();
      if (oldest.lastBegunNanos() - nanos >= 0) {
        return;
      }
      inOrderOfChange.remove();
      byRequest.remove(oldest.origin().request());
    }
  }
}
