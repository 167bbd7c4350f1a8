package org.gentianslip.core.testing;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ArbitrarySupplier;

/**
 * Supplies the seeds of a property test, or only the seed in the system property {@code
 * gentian.seed} if it is set.
 */
public final class Seeds implements ArbitrarySupplier<Long> {

  @Override
  public Arbitrary<Long> get() {
    Long seed = Long.getLong("gentian.seed");
    return seed == null ? Arbitraries.longs().greaterOrEqual(0) : Arbitraries.just(seed);
  }
}
