package org.gentianslip.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.fleet.Fleets;
import org.gentianslip.bench.run.PolicyComparison;
import org.gentianslip.bench.run.PolicyResult;
import org.gentianslip.bench.run.PolicySetup;
import org.gentianslip.bench.run.PolicySetups;
import org.gentianslip.bench.run.RankMetrics;
import org.gentianslip.bench.scenario.Scenario;
import org.gentianslip.bench.scenario.Scenarios;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.knownred.KnownRedExtension;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that the current policy meets its targets, in virtual time and with fixed seeds. */
@ExtendWith(KnownRedExtension.class)
@DisplayName("The current policy")
class PolicyBoundsTest {

  private static final List<Long> SEEDS = List.of(1L, 2L);
  private static final double MAX_FIRST_TOKEN_SECONDS = 0.62;
  private static final double MAX_BETWEEN_TOKENS_MILLIS = 54;
  private static final double MAX_FLOOD_TAIL_RATIO = 1.25;
  private static final double MIN_CUSTOMER_SHARE = 0.95;
  private static final double MIN_GOODPUT = 0.9;
  private static final double MAX_RETRIES_PER_REQUEST = 0.1;
  private static final double MIN_RECOVERED_SHARE = 0.99;

  private static final Map<String, PolicyResult> RESULTS = new HashMap<>();
  private static final Map<String, List<PolicyResult>> BASELINES = new HashMap<>();

  @BeforeAll
  static void run() {
    List<PolicySetup> all = PolicySetups.all();
    List<PolicySetup> compared = List.of(all.get(0), all.get(1), all.get(all.size() - 1));
    for (long seed : SEEDS) {
      for (PolicyResult result :
          PolicyComparison.withSeed(seed).run(Fleets.all(), Scenarios.all(), compared)) {
        String name = name(result.fleet().name(), result.scenario().name(), seed);
        if (result.policyName().equals(compared.get(2).name())) {
          RESULTS.put(name, result);
        } else {
          BASELINES.computeIfAbsent(name, n -> new ArrayList<>()).add(result);
        }
      }
    }
  }

  private static String name(String fleet, String scenario, long seed) {
    return fleet + "/" + scenario + "/" + seed;
  }

  private static Stream<String> names(List<Scenario> scenarios) {
    List<String> names = new ArrayList<>();
    for (FleetSpec fleet : Fleets.all()) {
      for (Scenario scenario : scenarios) {
        SEEDS.forEach(seed -> names.add(name(fleet.name(), scenario.name(), seed)));
      }
    }
    return names.stream();
  }

  static Stream<String> all() {
    return names(Scenarios.all());
  }

  static Stream<String> withinCapacity() {
    return names(Scenarios.all().stream().filter(Scenario::withinCapacity).toList());
  }

  static Stream<String> floods() {
    return names(List.of(Scenarios.otherFlood(), Scenarios.urgentFlood()));
  }

  static Stream<String> otherFloods() {
    return names(List.of(Scenarios.otherFlood()));
  }

  static Stream<String> urgentFloods() {
    return names(List.of(Scenarios.urgentFlood()));
  }

  static Stream<String> steady() {
    return names(List.of(Scenarios.steady()));
  }

  static Stream<String> peaks() {
    return names(List.of(Scenarios.dailyPeaks()));
  }

  static Stream<String> venturePeaks() {
    return peaks().filter(name -> name.startsWith("venture/"));
  }

  static Stream<String> recoveries() {
    return names(List.of(Scenarios.halfLost(), Scenarios.partition(), Scenarios.coldReturn()));
  }

  private static RankMetrics urgent(String name) {
    return RESULTS.get(name).metrics().measured().rank(Rank.URGENT);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("withinCapacity")
  void deliversUrgentFirstTokensInTime(String name) {
    assertThat(urgent(name).firstTokenSeconds(95), is(lessThanOrEqualTo(MAX_FIRST_TOKEN_SECONDS)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("withinCapacity")
  void deliversUrgentTokensInTime(String name) {
    assertThat(
        urgent(name).betweenTokensMillis(95), is(lessThanOrEqualTo(MAX_BETWEEN_TOKENS_MILLIS)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("otherFloods")
  void keepsTheUrgentTailInFloodsOfTheOtherRank(String name) {
    double floodSeconds =
        RESULTS.get(name).metrics().event().rank(Rank.URGENT).firstTokenSeconds(99);
    PolicyResult steady = RESULTS.get(name.replace("other-flood", "steady"));
    double steadySeconds = steady.metrics().event().rank(Rank.URGENT).firstTokenSeconds(99);
    assertThat(floodSeconds / steadySeconds, is(lessThanOrEqualTo(MAX_FLOOD_TAIL_RATIO)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("floods")
  void keepsTheMinimumShareOfTheOtherRank(String name) {
    PolicyResult result = RESULTS.get(name);
    assertThat(
        result.otherWorkShare() / result.eventGoodput(),
        is(greaterThanOrEqualTo(PolicySetups.OTHER_FLOOR)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("urgentFloods")
  void servesCustomersWithinTheirShareInUrgentFloods(String name) {
    assertThat(
        RESULTS.get(name).metrics().minCustomerShare(Rank.URGENT),
        is(greaterThanOrEqualTo(MIN_CUSTOMER_SHARE)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("floods")
  void keepsGoodputUnderOverload(String name) {
    assertThat(RESULTS.get(name).eventGoodput(), is(greaterThanOrEqualTo(MIN_GOODPUT)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("steady")
  void forwardsNothingWhileTheRegionHasCapacity(String name) {
    assertThat(RESULTS.get(name).metrics().forwardedShare(), is(0.0));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("all")
  void keepsRetriesWithinTheBudget(String name) {
    assertThat(
        RESULTS.get(name).metrics().retryShare(), is(lessThanOrEqualTo(MAX_RETRIES_PER_REQUEST)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("recoveries")
  void causesNoSecondOverloadAfterRecovery(String name) {
    RankMetrics after = RESULTS.get(name).metrics().afterEvent().rank(Rank.URGENT);
    assertThat(after.goodShare(), is(greaterThanOrEqualTo(MIN_RECOVERED_SHARE)));
    assertThat(after.firstTokenSeconds(95), is(lessThanOrEqualTo(MAX_FIRST_TOKEN_SECONDS)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("peaks")
  void hasTheShortestUrgentTailAtDailyPeaks(String name) {
    for (PolicyResult baseline : BASELINES.get(name)) {
      double baselineSeconds =
          baseline.metrics().measured().rank(Rank.URGENT).firstTokenSeconds(99);
      assertThat(urgent(name).firstTokenSeconds(99), is(lessThan(baselineSeconds)));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("peaks")
  void hasTheLowestCostAtDailyPeaks(String name) {
    for (PolicyResult baseline : BASELINES.get(name)) {
      assertThat(
          RESULTS.get(name).metrics().centsPerMillionTokens(),
          is(lessThan(baseline.metrics().centsPerMillionTokens())));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("venturePeaks")
  void forwardsLessThanTheOtherForwardingPolicy(String name) {
    double baseline =
        BASELINES.get(name).stream()
            .mapToDouble(r -> r.metrics().forwardedShare())
            .max()
            .orElseThrow();
    assertThat(RESULTS.get(name).metrics().forwardedShare(), is(lessThan(baseline)));
  }
}
