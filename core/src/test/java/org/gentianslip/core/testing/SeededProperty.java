package org.gentianslip.core.testing;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Marks a property test whose seeds {@link Seeds} supplies.
 *
 * <p>The seeds are the same in every run. A failure prints its seed; {@code -Dgentian.seed=SEED}
 * runs the test with that seed only.
 */
@Target(ElementType.METHOD)
@Retention(RetentionPolicy.RUNTIME)
@Property(
    tries = 400,
    seed = "20261204",
    generation = GenerationMode.RANDOMIZED,
    edgeCases = EdgeCasesMode.NONE,
    shrinking = ShrinkingMode.OFF)
public @interface SeededProperty {}
