package org.gentianslip.core.limit;

import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * Divides the rate of requests or refusals that a backend server has named among the instances of a
 * region.
 *
 * <p>As many instances send as there are whole requests per second, one at least; they are selected
 * by rendezvous hashing for each backend server, so that many instances with a small share each do
 * not add up to a burst. Only live instances share, so that a backend server is not left without a
 * sender. Stateless and thread-safe.
 */
public final class LimitShare {

  /** The part of the limit that is used, as instances may know different ones. */
  private static final double USED_SHARE = 0.85;

  /** The lowest rate of all instances together, so that the end of a limit is noticed. */
  private static final double MIN_PER_SECOND = 0.25;

  /** A try of one more place is refused, or takes a place that another instance then lacks. */
  private static final int REFUSALS_PER_TRY = 2;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private LimitShare() {}

  /**
   * Returns the time between two requests of one instance, in nanoseconds, or {@code
   * Long.MAX_VALUE} if it sends none.
   *
   * @param self the instance
   * @param instances the live instances of the region, including {@code self}
   * @param backend the backend server
   * @param perSecond the limit that the backend server has named, not negative
   */
  public static long intervalNanos(
      InstanceId self, Collection<InstanceId> instances, EngineId backend, double perSecond) {
    if (perSecond < 0) {
      throw new IllegalArgumentException("limit must not be negative: " + perSecond);
    }
    double usedPerSecond = Math.max(MIN_PER_SECOND, USED_SHARE * perSecond);
    int senders = (int) Math.max(1, Math.min(instances.size(), perSecond));
    boolean selected = EngineSubsetting.shareOf(self, instances, backend, senders).isPresent();
    return selected ? (long) (NANOS_PER_SECOND * senders / usedPerSecond) : Long.MAX_VALUE;
  }

  /**
   * Returns the share of one instance in the refusals that a backend server bears.
   *
   * <p>The shares of all instances add up to whole refusals in any second, and so do their tries of
   * one more place. The intervals of the instances differ, so that they don't try at once after
   * refusals at the same moment.
   *
   * @param self the instance
   * @param instances the instances of the region, including {@code self}
   * @param minInstances the number of instances that is assumed at least
   * @param backend the backend server
   * @param perSecond the refusals per second that the backend server bears, not negative
   */
  public static RefusalShare refusals(
      InstanceId self,
      Collection<InstanceId> instances,
      int minInstances,
      EngineId backend,
      double perSecond) {
    if (perSecond < 0) {
      throw new IllegalArgumentException("limit must not be negative: " + perSecond);
    }
    int whole = (int) (USED_SHARE * perSecond);
    int sharers = Math.max(minInstances, instances.size());
    int index =
        EngineSubsetting.shareOf(self, instances, backend, instances.size())
            .map(EngineShare::index)
            .orElse(sharers - 1);
    int portion = EngineShare.equal(index, sharers).portionOfFree(whole);
    double roundSeconds = REFUSALS_PER_TRY * sharers / Math.max(MIN_PER_SECOND, whole);
    double intervalSeconds = roundSeconds * (1 + (double) index / sharers);
    return new RefusalShare(portion, (long) (NANOS_PER_SECOND * intervalSeconds));
  }
}
