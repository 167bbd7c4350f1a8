package org.gentianslip.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import org.gentianslip.core.testing.SeededProperty;
import org.gentianslip.core.testing.Seeds;
import org.gentianslip.core.time.ClockReading;

/** Guards against accepting a key for longer than the limit after its removal. */
@Label("Strict revocation")
class RevocationPropertyTest {

  private static ClockReading at(long steadyMillis, long wallMillis) {
    return new ClockReading(steadyMillis * 1_000_000, wallMillis);
  }

  private static boolean accepts(ClockReading confirmed, ClockReading now) {
    return RevocationSimulation.RULE.mayAccept(
        Optional.of(new Confirmation(1, confirmed, false)), now);
  }

  @SeededProperty
  @Label("accepts no request that was sent later than the limit after the removal")
  void acceptsNoLateRequest(@ForAll(supplier = Seeds.class) long seed) {
    var simulation = new RevocationSimulation(seed);
    simulation.run(600);
    assertThat(
        "seed " + seed,
        simulation.lateMillis(),
        is(lessThanOrEqualTo(RevocationSimulation.RULE.limitMillis())));
  }

  @Example
  @Label("still accepts requests, so that the property is not met by refusing all")
  void acceptsRequests() {
    long accepted = 0;
    for (long seed = 0; seed < 20; seed++) {
      var simulation = new RevocationSimulation(seed);
      simulation.run(600);
      accepted += simulation.accepted();
    }
    assertThat(accepted, is(greaterThan(100L)));
  }

  @Example
  @Label("counts the time during which the machine was suspended")
  void countsSuspension() {
    assertThat(accepts(at(0, 0), at(100, 4_900)), is(true));
    assertThat(accepts(at(0, 0), at(100, 5_100)), is(false));
  }

  @Example
  @Label("does not take a wall clock that steps back for a recent confirmation")
  void ignoresStepsBack() {
    assertThat(accepts(at(0, 10_000), at(5_100, 5_000)), is(false));
  }

  @Example
  @Label("accepts no key before the first confirmation")
  void needsConfirmation() {
    assertThat(RevocationSimulation.RULE.mayAccept(Optional.empty(), at(0, 0)), is(false));
    assertThat(RevocationRule.NONE.mayAccept(Optional.empty(), at(0, 0)), is(true));
  }

  @Example
  @Label("is not confirmed by an instance with a later version")
  void needsTheStatedVersion() {
    var knowledge = new ConfigurationKnowledge();
    knowledge.applyResponse(1, 2, 0, at(0, 0), at(1, 1));
    assertThat(knowledge.confirmation().isPresent(), is(false));
    knowledge.applyResponse(2, 2, 0, at(0, 0), at(1, 1));
    assertThat(knowledge.confirmation().isPresent(), is(true));
  }

  @Example
  @Label("serves for 0.6 of the limit after the last of the short watches has ended")
  void watchesOftenEnough() {
    long watchMillis =
        RevocationSimulation.RULE.watchMillis(true, 4_000, Optional.empty(), at(0, 0));
    assertThat(2 * watchMillis, is(lessThanOrEqualTo(2_000L)));
    Optional<Confirmation> own = Optional.of(new Confirmation(1, at(0, 0), false));
    assertThat(RevocationSimulation.RULE.watchMillis(false, 4_000, own, at(0, 0)), is(833L));
  }

  @Example
  @Label("keeps a confirmation by another instance when the own watch ends")
  void keepsConfirmationByOthers() {
    // Members watched in short calls after each watch, 1,395 calls in place of 608 on a calm day.
    var knowledge = new ConfigurationKnowledge();
    knowledge.applyResponse(1, 1, 0, at(1_000, 1_000), at(1_010, 1_010));
    knowledge.confirm(new Confirmation(1, at(1_500, 1_500), false), at(1_510, 1_510));
    assertThat(
        RevocationSimulation.RULE.watchMillis(
            false, 4_000, knowledge.confirmationByOthers(), at(1_510, 1_510)),
        is(4_000L));
  }

  @Example
  @Label("does not rely on another instance that only repeats its own confirmation")
  void doesNotRelyOnItsOwnConfirmation() {
    // Two instances, one without the store, let the age grow to 2,083 ms with a limit of 2,000.
    var knowledge = new ConfigurationKnowledge();
    knowledge.confirm(new Confirmation(1, at(1_500, 1_500), false), at(1_510, 1_510));
    knowledge.applyResponse(1, 1, 101, at(1_600, 1_600), at(1_610, 1_610));
    assertThat(
        RevocationSimulation.RULE.watchMillis(
            false, 4_000, knowledge.confirmationByOthers(), at(1_610, 1_610)),
        is(833L));
  }

  @Example
  @Label("watches in long calls only while others confirm the configuration")
  void reliesOnOthers() {
    Optional<Confirmation> stated = Optional.of(new Confirmation(1, at(0, 0), true));
    assertThat(RevocationSimulation.RULE.watchMillis(false, 4_000, stated, at(0, 0)), is(4_000L));
    assertThat(RevocationSimulation.RULE.watchMillis(true, 4_000, stated, at(0, 0)), is(833L));
    assertThat(RevocationSimulation.RULE.watchMillis(false, 4_000, stated, at(2_800, 0)), is(833L));
    var shortRule = new RevocationRule(true, 2_000);
    assertThat(shortRule.watchMillis(false, 4_000, stated, at(0, 0)), is(1_600L));
    assertThat(RevocationRule.NONE.watchMillis(true, 2_000, stated, at(0, 0)), is(2_000L));
  }
}
