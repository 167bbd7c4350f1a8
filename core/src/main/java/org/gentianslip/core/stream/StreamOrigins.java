package org.gentianslip.core.stream;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.gentianslip.core.id.SoftwareVersion;

/**
 * The versions at which recent streams began, by the id of the attempt that brought the first
 * event.
 *
 * <p>An id that was recorded with two versions stands for neither. Holds the newest {@value
 * #MAX_STREAMS} streams. Thread-safe.
 */
public final class StreamOrigins {

  /** The maximum number of streams that are remembered. */
  static final int MAX_STREAMS = 65_536;

  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** What is known of a stream; the version is empty if two were recorded. */
  private record Entry(Optional<SoftwareVersion> version, long begunNanos) {}

  /**
   * Records where a stream began.
   *
   * @return whether this is new
   */
  public synchronized boolean record(StreamOrigin origin) {
    Entry known = entries.get(origin.request());
    if (known == null) {
      entries.put(origin.request(), new Entry(Optional.of(origin.version()), origin.begunNanos()));
      dropExcess();
      return true;
    }
    if (known.version().isEmpty() || known.version().get().equals(origin.version())) {
      return false;
    }
    entries.put(origin.request(), new Entry(Optional.empty(), origin.begunNanos()));
    return true;
  }

  private void dropExcess() {
    var oldestFirst = entries.keySet().iterator();
    for (int excess = entries.size() - MAX_STREAMS; excess > 0; excess--) {
      oldestFirst.next();
      oldestFirst.remove();
    }
  }

  /** Returns the version at which a stream began, if exactly one is known. */
  public synchronized Optional<SoftwareVersion> versionOf(String request) {
    Entry known = entries.get(request);
    return known == null ? Optional.empty() : known.version();
  }

  /** Drops the streams that began before a time. */
  public synchronized void dropBefore(long nanos) {
    entries.values().removeIf(e -> e.begunNanos() - nanos < 0);
  }
}
