package org.gentianslip.core.limit;

/**
 * An instance's share among the instances that share an engine.
 *
 * <p>The instances are sorted in an order that all of them know, such as the order of their ids.
 * The integer portions that {@link #portionOf} and {@link #portionOfFree} return to all of them add
 * up to the shared amount, even if it does not divide evenly. Immutable and thread-safe.
 *
 * @param weightBefore the weight of the instances before this one, at least 0
 * @param weight the weight of this instance, above 0
 * @param totalWeight the weight of all instances
 * @param index the number of instances before this one, at least 0
 * @param instances the number of all instances, above {@code index}
 */
public record EngineShare(
    double weightBefore, double weight, double totalWeight, int index, int instances) {

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is out of its range
   */
  public EngineShare {
    if (!(weight > 0 && weightBefore >= 0 && weightBefore + weight <= totalWeight)) {
      throw new IllegalArgumentException(
          "Weights must be positive and at most the total "
              + totalWeight
              + ": "
              + weightBefore
              + ", "
              + weight);
    }
    if (index < 0 || index >= instances) {
      throw new IllegalArgumentException("index must be in [0, " + instances + "): " + index);
    }
  }

  /** Returns the share of one of several instances with equal weights. */
  public static EngineShare equal(int index, int instances) {
    return new EngineShare(index, 1, instances, index, instances);
  }

  /** Returns this instance's integer portion of an amount, in proportion to its weight. */
  public int portionOf(int amount) {
    return (int)
        (Math.floor(amount * (weightBefore + weight) / totalWeight)
            - Math.floor(amount * weightBefore / totalWeight));
  }

  /**
   * Returns this instance's integer portion of a free amount, divided equally; negative if the
   * amount is negative.
   */
  public int portionOfFree(int free) {
    int remainder = Math.floorMod(free, instances);
    return Math.floorDiv(free, instances) + (index < remainder ? 1 : 0);
  }
}
