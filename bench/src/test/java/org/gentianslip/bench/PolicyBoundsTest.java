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
import org.gentianslip.bench.run.Bench;
import org.gentianslip.bench.run.BenchResult;
import org.gentianslip.bench.run.Contender;
import org.gentianslip.bench.run.Contenders;
import org.gentianslip.bench.run.RankResult;
import org.gentianslip.bench.scenario.Scenario;
import org.gentianslip.bench.scenario.Scenarios;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.knownred.KnownRedExtension;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Holds the present policy to the targets, in virtual time and with fixed seeds. */
@ExtendWith(KnownRedExtension.class)
@DisplayName("The present policy")
class PolicyBoundsTest {

  private static final List<Long> SEEDS = List.of(1L, 2L);
  private static final double FIRST_TOKEN_SECONDS = 0.62;
  private static final double BETWEEN_TOKENS_MILLIS = 54;
  private static final double FLOOD_RATIO = 1.25;
  private static final double CUSTOMER_SHARE = 0.95;
  private static final double GOODPUT = 0.9;
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double RECOVERED_SHARE = 0.99;

  private static final Map<String, BenchResult> RESULTS = new HashMap<>();
  private static final Map<String, List<BenchResult>> BASELINES = new HashMap<>();

  @BeforeAll
  static void run() {
    List<Contender> all = Contenders.all();
    List<Contender> compared = List.of(all.get(0), all.get(1), all.get(all.size() - 1));
    for (long seed : SEEDS) {
      for (BenchResult result : Bench.withSeed(seed).run(Fleets.all(), Scenarios.all(), compared)) {
        String name = name(result.fleet().name(), result.scenario().name(), seed);
        if (result.contender().equals(compared.get(2).name())) {
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

  private static RankResult urgent(String name) {
    return RESULTS.get(name).run().measured().rank(Rank.URGENT);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("withinCapacity")
  void sendsUrgentFirstTokensInTime(String name) {
    assertThat(urgent(name).firstTokenSeconds(95), is(lessThanOrEqualTo(FIRST_TOKEN_SECONDS)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("withinCapacity")
  void sendsUrgentTokensInTime(String name) {
    assertThat(urgent(name).betweenTokensMillis(95), is(lessThanOrEqualTo(BETWEEN_TOKENS_MILLIS)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("otherFloods")
  void keepsTheUrgentTailInFloodsOfTheOtherRank(String name) {
    double flood = RESULTS.get(name).run().event().rank(Rank.URGENT).firstTokenSeconds(99);
    BenchResult without = RESULTS.get(name.replace("other-flood", "steady"));
    double steady = without.run().event().rank(Rank.URGENT).firstTokenSeconds(99);
    assertThat(flood / steady, is(lessThanOrEqualTo(FLOOD_RATIO)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("floods")
  void keepsTheFloorOfTheOtherRank(String name) {
    BenchResult result = RESULTS.get(name);
    assertThat(
        result.otherWork() / result.eventGoodput(),
        is(greaterThanOrEqualTo(Contenders.OTHER_FLOOR)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("urgentFloods")
  void servesCustomersWithinTheirShareInUrgentFloods(String name) {
    assertThat(
        RESULTS.get(name).run().leastCustomerShare(Rank.URGENT),
        is(greaterThanOrEqualTo(CUSTOMER_SHARE)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("floods")
  void keepsItsGoodputUnderOverload(String name) {
    assertThat(RESULTS.get(name).eventGoodput(), is(greaterThanOrEqualTo(GOODPUT)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("steady")
  void sendsNothingAwayWhileTheRegionHasCapacity(String name) {
    assertThat(RESULTS.get(name).run().sentAwayShare(), is(0.0));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("all")
  void keepsRetriesWithinTheBudget(String name) {
    assertThat(RESULTS.get(name).run().retryShare(), is(lessThanOrEqualTo(RETRIES_PER_REQUEST)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("recoveries")
  void hasNoSecondOverloadAfterRecovery(String name) {
    RankResult after = RESULTS.get(name).run().afterEvent().rank(Rank.URGENT);
    assertThat(after.goodShare(), is(greaterThanOrEqualTo(RECOVERED_SHARE)));
    assertThat(after.firstTokenSeconds(95), is(lessThanOrEqualTo(FIRST_TOKEN_SECONDS)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("peaks")
  void hasTheShortestUrgentTailAtDailyPeaks(String name) {
    for (BenchResult baseline : BASELINES.get(name)) {
      double tail = baseline.run().measured().rank(Rank.URGENT).firstTokenSeconds(99);
      assertThat(urgent(name).firstTokenSeconds(99), is(lessThan(tail)));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("peaks")
  void hasTheLeastCostAtDailyPeaks(String name) {
    for (BenchResult baseline : BASELINES.get(name)) {
      assertThat(
          RESULTS.get(name).run().centsPerMillionTokens(),
          is(lessThan(baseline.run().centsPerMillionTokens())));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("venturePeaks")
  void sendsLessAwayThanTheOtherPolicyThatSendsAway(String name) {
    double baseline =
        BASELINES.get(name).stream().mapToDouble(r -> r.run().sentAwayShare()).max().orElseThrow();
    assertThat(RESULTS.get(name).run().sentAwayShare(), is(lessThan(baseline)));
  }
}
