package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Draws instances for a caller, who spreads its connections evenly over those it is given.
 *
 * <p>Over many draws, each instance is drawn in proportion to its capacity. Stateless and
 * thread-safe.
 */
public final class CapacitySample {

  private CapacitySample() {}

  /**
   * Returns a random, non-empty selection in random order, or an empty list if there are no
   * instances.
   *
   * @param instances the instances
   * @param capacity returns the capacity of an instance, greater than 0
   * @param limit the maximum number to return, at least 1
   */
  public static <T> List<T> draw(
      Collection<T> instances, ToIntFunction<T> capacity, int limit, RandomGenerator random) {
    if (limit < 1) {
      throw new IllegalArgumentException("limit must be at least 1: " + limit);
    }
    List<T> remaining = new ArrayList<>(instances);
    int largest = remaining.stream().mapToInt(capacity).max().orElse(1);
    double total = remaining.stream().mapToInt(capacity).sum();
    int size = Math.min(limit, (int) Math.ceil(total / largest));
    List<T> drawn = new ArrayList<>(size);
    while (drawn.size() < size) {
      T candidate = remaining.remove(random.nextInt(remaining.size()));
      boolean last = remaining.size() < size - drawn.size();
      if (last || random.nextInt(largest) < capacity.applyAsInt(candidate)) {
        drawn.add(candidate);
      }
    }
    return drawn;
  }
}
