package org.gentianslip.core.limit;

/**
 * Holds an instance's place among the instances that share an engine.
 *
 * <p>The instances stand in an order that all of them know, such as that of their ids. The whole
 * shares that {@link #portionOf} and {@link #portionOfFree} give to all of them add up to what is
 * shared, however it divides. Immutable and safe for use by several threads.
 *
 * @param weightBefore the weight of the instances before this one, at least 0
 * @param weight the weight of this instance, above 0
 * @param totalWeight the weight of all instances
 * @param place the number of instances before this one, at least 0
 * @param instances the number of all instances, above {@code place}
 */
public record EngineShare(
    double weightBefore, double weight, double totalWeight, int place, int instances) {

  /**
   * Checks the numbers.
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
    if (place < 0 || place >= instances) {
      throw new IllegalArgumentException("place must be in [0, " + instances + "): " + place);
    }
  }

  /** Returns the share of one of several instances of equal weight. */
  public static EngineShare equal(int place, int instances) {
    return new EngineShare(place, 1, instances, place, instances);
  }

  /** Returns this instance's whole share of an amount, by weight. */
  public int portionOf(int amount) {
    return (int)
        (Math.floor(amount * (weightBefore + weight) / totalWeight)
            - Math.floor(amount * weightBefore / totalWeight));
  }

  /**
   * Returns this instance's equal part of what is free; negative if more is taken than there is.
   */
  public int portionOfFree(int free) {
    int remainder = Math.floorMod(free, instances);
    return Math.floorDiv(free, instances) + (place < remainder ? 1 : 0);
  }
}
