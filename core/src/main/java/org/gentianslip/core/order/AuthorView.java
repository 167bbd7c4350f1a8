package org.gentianslip.core.order;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.gentianslip.core.hash.BitMixer;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * The published list of instances and engines as one instance knows it.
 *
 * <p>The author of an engine's orders depends on the list alone, so all instances with the same
 * list determine the same author. Immutable and thread-safe.
 *
 * @param version the version of the list
 * @param instances the live instances of the region, sorted by id
 * @param engines the engines of the region
 * @param fleetEngines the number of engines in all regions
 * @param readNanos when the request that confirmed this version was sent, in nanoseconds of the
 *     monotonic clock
 */
public record AuthorView(
    long version,
    List<InstanceId> instances,
    List<EngineId> engines,
    int fleetEngines,
    long readNanos) {

  /**
   * Validates the components and sorts the instances.
   *
   * @throws IllegalArgumentException if {@code fleetEngines} is less than the number of engines of
   *     the region
   */
  public AuthorView {
    instances = instances.stream().distinct().sorted().toList();
    engines = List.copyOf(engines);
    if (fleetEngines < engines.size()) {
      throw new IllegalArgumentException(
          "fleetEngines must be at least " + engines.size() + ": " + fleetEngines);
    }
  }

  /** Returns the instance that sends orders to an engine, or nothing if there are no instances. */
  public Optional<InstanceId> author(EngineId engine) {
    long key = BitMixer.mix(engine.value().hashCode());
    return instances.stream()
        .max(Comparator.comparingLong(instance -> BitMixer.rendezvousScore(key, instance.value())));
  }

  /** Returns the fence of the orders that an instance of the list sends. */
  Fence fence(InstanceId instance) {
    return new Fence(version, instances.indexOf(instance));
  }

  /**
   * Returns the later of two views: the one with the higher version, or else the later
   * confirmation.
   */
  AuthorView later(AuthorView other) {
    if (version != other.version) {
      return version > other.version ? this : other;
    }
    return readNanos - other.readNanos >= 0 ? this : other;
  }
}
