package org.gentianslip.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.gentianslip.core.hash.BitMixer;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * Selects the subset of instances that share an engine.
 *
 * <p>If a region has more instances than an engine has slots to divide, each engine is used by a
 * bounded number of instances, selected by rendezvous hashing. Instances with equal lists of
 * instances select the same subsets, and an instance that joins or leaves changes only the subsets
 * of the engines that it uses itself. The number of engines that an instance must observe and
 * select from therefore stays small as the region grows. Stateless and thread-safe.
 */
public final class EngineSubsetting {

  private EngineSubsetting() {}

  /**
   * Returns the share of an instance, or nothing if it does not use the engine.
   *
   * @param self the instance
   * @param instances the instances of the region, including {@code self}
   * @param engine the engine
   * @param maxSharers the maximum number of instances that share an engine, at least 1
   * @throws IllegalArgumentException if {@code maxSharers} is below 1
   */
  public static Optional<EngineShare> shareOf(
      InstanceId self, Collection<InstanceId> instances, EngineId engine, int maxSharers) {
    if (maxSharers < 1) {
      throw new IllegalArgumentException("maxSharers must be at least 1: " + maxSharers);
    }
    long key = BitMixer.mix(engine.value().hashCode());
    long ownScore = BitMixer.rendezvousScore(key, self.value());
    int higherRanked = 0;
    for (InstanceId instance : instances) {
      long score = BitMixer.rendezvousScore(key, instance.value());
      if (score > ownScore || (score == ownScore && instance.compareTo(self) < 0)) {
        higherRanked++;
      }
    }
    if (higherRanked >= maxSharers) {
      return Optional.empty();
    }
    return Optional.of(EngineShare.equal(higherRanked, Math.min(maxSharers, instances.size())));
  }

  /** Returns the engines that an instance uses, sorted by id. */
  public static List<EngineId> enginesOf(
      InstanceId self,
      Collection<InstanceId> instances,
      Collection<EngineId> engines,
      int maxSharers) {
    List<EngineId> used = new ArrayList<>();
    for (EngineId engine : engines) {
      if (shareOf(self, instances, engine, maxSharers).isPresent()) {
        used.add(engine);
      }
    }
    used.sort(Comparator.naturalOrder());
    return used;
  }
}
