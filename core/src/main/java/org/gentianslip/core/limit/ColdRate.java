package org.gentianslip.core.limit;

import java.util.Collection;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * Divides the request rate that a cold backend server bears among the instances of a region.
 *
 * <p>If there are more instances than requests per second, only some of them may send, selected by
 * rendezvous hashing for each backend server. Instances that know the same instances select the
 * same ones; those that are silent keep their place while they are remembered, so that both sides
 * of a partition select alike. Stateless and thread-safe.
 */
public final class ColdRate {

  /** No limit. */
  public static final int UNLIMITED = Integer.MAX_VALUE;

  private ColdRate() {}

  /**
   * Returns the number of requests that one instance may send in any second.
   *
   * @param self the instance
   * @param instances the remembered instances of the region, including {@code self}
   * @param minInstances the number of instances that is assumed at least
   * @param backend the backend server
   * @param regionPerSecond the rate for all instances together, not negative
   */
  public static int perSecond(
      InstanceId self,
      Collection<InstanceId> instances,
      int minInstances,
      EngineId backend,
      double regionPerSecond) {
    if (regionPerSecond < 0) {
      throw new IllegalArgumentException("rate must not be negative: " + regionPerSecond);
    }
    int sharers = Math.max(minInstances, instances.size());
    int each = (int) (regionPerSecond / sharers);
    if (each >= 1) {
      return each;
    }
    int senders = (int) regionPerSecond;
    boolean selected =
        senders >= 1 && EngineSubsetting.shareOf(self, instances, backend, senders).isPresent();
    return selected ? 1 : 0;
  }
}
