package org.gentianslip.core.order;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.gentianslip.core.hash.BitMixer;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * The published list as one instance knows it.
 *
 * <p>The author of an engine depends on the list alone, so all instances that know the same list
 * find the same one. Immutable and safe for use by several threads.
 *
 * @param version the version of the list
 * @param instances the live instances of the region, in the order of their ids
 * @param engines the engines of the region
 * @param fleetEngines the number of engines in all regions
 * @param readNanos when the call that confirmed this version was sent, on the monotonic clock
 */
public record AuthorView(
    long version,
    List<InstanceId> instances,
    List<EngineId> engines,
    int fleetEngines,
    long readNanos) {

  /**
   * Sorts the instances.
   *
   * @throws IllegalArgumentException if the region has more engines than the fleet
   */
  public AuthorView {
    instances = instances.stream().distinct().sorted().toList();
    engines = List.copyOf(engines);
    if (fleetEngines < engines.size()) {
      throw new IllegalArgumentException(
          "fleetEngines must be at least " + engines.size() + ": " + fleetEngines);
    }
  }

  /** Returns the instance that gives orders to an engine, or nothing if there are no instances. */
  public Optional<InstanceId> author(EngineId engine) {
    long key = BitMixer.mix(engine.value().hashCode());
    return instances.stream()
        .max(Comparator.comparingLong(instance -> BitMixer.rendezvous(key, instance.value())));
  }

  /** Returns the fence of the orders of an instance of the list. */
  Fence fence(InstanceId instance) {
    return new Fence(version, instances.indexOf(instance));
  }

  /** Returns the view that is later: the greater version, then the later confirmation. */
  AuthorView later(AuthorView other) {
    if (version != other.version) {
      return version > other.version ? this : other;
    }
    return readNanos - other.readNanos >= 0 ? this : other;
  }
}
