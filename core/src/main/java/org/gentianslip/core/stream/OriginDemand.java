package org.gentianslip.core.stream;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.InstanceId;

/**
 * Whether instances need the origins of streams, as they can't tell them from the only version that
 * a service has had.
 *
 * <p>A need is passed on by as many instances as lie between two members of data centres of a
 * region. Each states one step less than it has heard, so that a need ends with its cause.
 * Thread-safe.
 */
public final class OriginDemand {

  /** The steps from a member by two relays to another member. */
  public static final int MAX_STEPS = 3;

  /** How long a statement holds. */
  private static final long HEARD_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Map<InstanceId, Statement> statements = new ConcurrentHashMap<>();

  private record Statement(int steps, long heardNanos) {}

  /** Records the steps that an instance has stated; 0 if it has stated no need. */
  public void record(long nowNanos, InstanceId peer, int steps) {
    if (steps <= 0) {
      statements.remove(peer);
    } else {
      statements.put(peer, new Statement(Math.min(MAX_STEPS, steps), nowNanos));
    }
  }

  /**
   * Returns the steps to state to others.
   *
   * @param own whether this instance itself needs origins
   */
  public int steps(long nowNanos, boolean own) {
    return own ? MAX_STEPS : Math.max(0, maxHeard(nowNanos) - 1);
  }

  /** Returns whether this instance or one that it has heard needs origins. */
  public boolean isPresent(long nowNanos, boolean own) {
    return own || maxHeard(nowNanos) > 0;
  }

  private int maxHeard(long nowNanos) {
    statements.values().removeIf(s -> nowNanos - s.heardNanos() > HEARD_NANOS);
    return statements.values().stream().mapToInt(Statement::steps).max().orElse(0);
  }
}
