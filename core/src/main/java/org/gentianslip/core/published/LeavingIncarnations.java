package org.gentianslip.core.published;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.gentianslip.core.id.EngineId;

/**
 * The backend servers that have said themselves that they are leaving.
 *
 * <p>A mark belongs to one start of a backend server, never to its address or to a later start with
 * the same id, and does not end: whatever the publisher shows, such a backend server gets no new
 * work. Where the time of the start is unknown, the mark ends when the backend server is no longer
 * published. Holds at most {@link #MAX_MARKS} marks, the latest ones. Not thread-safe.
 */
public final class LeavingIncarnations {

  /** The maximum number of marks. */
  static final int MAX_MARKS = 10_000;

  private static final long UNKNOWN_START = 0;

  private final Set<Incarnation> marks = new LinkedHashSet<>();

  /**
   * One start of a backend server.
   *
   * @param id the id of the backend server
   * @param startedMillis when it started, in Unix milliseconds, or 0 if unknown
   */
  private record Incarnation(EngineId id, long startedMillis) {

    static Incarnation of(Backend backend) {
      return new Incarnation(backend.id(), backend.startedMillis());
    }
  }

  /** Marks a backend server, and returns whether it was not marked before. */
  public boolean add(Backend backend) {
    boolean added = marks.add(Incarnation.of(backend));
    if (marks.size() > MAX_MARKS) {
      Iterator<Incarnation> earliestFirst = marks.iterator();
      earliestFirst.next();
      earliestFirst.remove();
    }
    return added;
  }

  /** Returns whether a backend server is marked. */
  public boolean contains(Backend backend) {
    return marks.contains(Incarnation.of(backend));
  }

  /** Drops the marks that end because their backend servers are no longer published. */
  public void retainPublished(Map<EngineId, Backend> published) {
    marks.removeIf(m -> m.startedMillis() == UNKNOWN_START && !published.containsKey(m.id()));
  }
}
