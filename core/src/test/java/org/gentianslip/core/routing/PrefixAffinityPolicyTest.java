package org.gentianslip.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PrefixAffinityPolicyTest {

  private static final int SLOTS = 16;
  private static final RegionSummary SOUTH =
      new RegionSummary(RegionId.of("south"), 4, 0, 110_000_000, true);

  private final PrefixAffinityPolicy policy = PrefixAffinityPolicy.withSeed(1);

  private static EngineView engine(int index, int inFlight) {
    return new EngineView(
        EngineId.of("engine-" + index), Set.of(Requests.MODEL), SLOTS, inFlight, 0, 0, 0, true);
  }

  private static RoutingView view(List<RegionSummary> others, int... inFlight) {
    List<EngineView> engines = new ArrayList<>();
    for (int i = 0; i < inFlight.length; i++) {
      engines.add(engine(i, inFlight[i]));
    }
    return new RoutingView(Requests.HOME, engines, others);
  }

  private EngineId chosen(long prefix, RoutingView view) {
    var decision = policy.decide(0, Requests.withPrefix("r", prefix, false), view);
    return ((RoutingDecision.ToEngine) decision).engine();
  }

  @Nested
  class WithRoom {

    @Test
    void sendsEqualPrefixesToTheSameEngine() {
      RoutingView view = view(List.of(), 2, 2, 2);
      assertThat(chosen(7, view), is(chosen(7, view)));
    }

    @Test
    void spreadsPrefixesOverTheEngines() {
      RoutingView view = view(List.of(), 2, 2);
      long first = 0;
      for (long prefix = 0; prefix < 1000; prefix++) {
        first += chosen(prefix, view).equals(EngineId.of("engine-0")) ? 1 : 0;
      }
      assertThat(first, is(both(greaterThan(430L)).and(lessThan(570L))));
    }

    @Test
    void movesOnlyThePrefixesOfAnEngineThatLeaves() {
      RoutingView three = view(List.of(), 0, 0, 0);
      RoutingView two = view(List.of(), 0, 0);
      for (long prefix = 0; prefix < 200; prefix++) {
        EngineId before = chosen(prefix, three);
        if (!before.equals(EngineId.of("engine-2"))) {
          assertThat(chosen(prefix, two), is(before));
        }
      }
    }

    @Test
    void leavesThePreferredEngineWhenItIsOverItsLoadBound() {
      EngineId preferred = chosen(7, view(List.of(), 0, 0));
      int[] loads =
          preferred.equals(EngineId.of("engine-0")) ? new int[] {12, 2} : new int[] {2, 12};
      assertThat(chosen(7, view(List.of(), loads)), is(not(preferred)));
    }
  }

  @Nested
  class WithoutRoom {

    @Test
    void sendsTheRequestToRegionWithSpareCapacity() {
      var decision =
          policy.decide(0, Requests.withPrefix("r", 7, false), view(List.of(SOUTH), SLOTS));
      assertThat(decision, is(new RoutingDecision.ToRegion(SOUTH.region(), RoutingReason.SPILL)));
    }

    @Test
    void keepsForwardedRequest() {
      var decision =
          policy.decide(0, Requests.withPrefix("r", 7, true), view(List.of(SOUTH), SLOTS));
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }

    @Test
    void refusesWhenNoEngineServesTheModel() {
      var decision = policy.decide(0, Requests.withPrefix("r", 7, true), view(List.of()));
      assertThat(decision, instanceOf(RoutingDecision.Refuse.class));
    }
  }

  @Property(seed = "5")
  void neverChoosesAnEngineWithoutRoom(
      @ForAll long prefix,
      @ForAll @Size(min = 1, max = 9) List<@IntRange(min = 0, max = SLOTS) Integer> inFlight) {
    int[] loads = inFlight.stream().mapToInt(Integer::intValue).toArray();
    RoutingView view = view(List.of(), loads);
    var decision = policy.decide(0, Requests.withPrefix("r", prefix, false), view);
    boolean anyRoom = inFlight.stream().anyMatch(n -> n < SLOTS);
    assertThat(decision instanceof RoutingDecision.ToEngine, is(anyRoom));
    if (decision instanceof RoutingDecision.ToEngine to) {
      int index = Integer.parseInt(to.engine().value().substring("engine-".length()));
      assertThat(loads[index], is(lessThan(SLOTS)));
    }
  }
}
