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
 * Chooses the instances that share an engine.
 *
 * <p>Where a region has more instances than an engine has slots to divide, each engine is used by a
 * bounded number of them, chosen by rendezvous hashing. Instances that hold equal lists choose
 * alike, and an instance that joins or leaves changes the sharers of its own engines only. So the
 * engines that an instance must watch and choose from stay few as the region grows. Stateless and
 * safe for use by several threads.
 */
public final class EngineSubsetting {

  private EngineSubsetting() {}

  /**
   * Returns the share of an instance, or nothing if it does not use the engine.
   *
   * @param self the instance
   * @param instances the instances of the region, among them {@code self}
   * @param engine the engine
   * @param maxSharers the greatest number of instances that share an engine, at least 1
   * @throws IllegalArgumentException if {@code maxSharers} is below 1
   */
  public static Optional<EngineShare> shareOf(
      InstanceId self, Collection<InstanceId> instances, EngineId engine, int maxSharers) {
    if (maxSharers < 1) {
      throw new IllegalArgumentException("maxSharers must be at least 1: " + maxSharers);
    }
    long key = BitMixer.mix(engine.value().hashCode());
    long own = BitMixer.rendezvous(key, self.value());
    int before = 0;
    for (InstanceId instance : instances) {
      long score = BitMixer.rendezvous(key, instance.value());
      if (score > own || (score == own && instance.compareTo(self) < 0)) {
        before++;
      }
    }
    if (before >= maxSharers) {
      return Optional.empty();
    }
    return Optional.of(EngineShare.equal(before, Math.min(maxSharers, instances.size())));
  }

  /** Returns the engines that an instance uses, in the order of their ids. */
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
