package org.gentianslip.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.gentianslip.core.customer.Quota;
import org.gentianslip.core.fleet.FleetSimulation.Node;
import org.gentianslip.core.quota.QuotaBounds;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The quota of a customer across instances")
class QuotaFleetTest {

  private static final QuotaBounds BOUNDS =
      new QuotaBounds(TimeUnit.SECONDS.toNanos(8), 0.25, 190_000);

  private static final double RATE = 50_000;
  private static final Quota QUOTA = new Quota(RATE, 2 * RATE, 0, true);
  private static final double USUAL = 0.7 * RATE;

  /** The greatest flood that the deployments name: 8 times the usual demand. */
  private static final double FLOOD = 8 * USUAL;

  private static final double LARGE = 17_000;
  private static final double SMALL = 400;

  private static QuotaTrial trial(int instances, double cost) {
    boolean small = instances < 12;
    var fleet =
        small
            ? new FleetSimulation(instances, 1, 1, instances)
            : new FleetSimulation(instances, 3, 2, instances / 6);
    return new QuotaTrial(fleet, BOUNDS, QUOTA, cost);
  }

  /** Returns a choice of the node that receives a request, by the virtual time. */
  private static Function<Random, Node> pattern(QuotaTrial trial, String name) {
    var nodes = trial.fleet.nodes;
    return switch (name) {
      case "one" -> r -> nodes.get(0);
      case "all" -> trial::anyNode;
      default -> r -> nodes.get((int) (trial.fleet.nowNanos / 1_000_000_000L * 7 % nodes.size()));
    };
  }

  /** Guards against sums over the bound while instances don't know of each other's admissions. */
  @ParameterizedTest
  @CsvSource({
    "1,one,400",
    "1,one,17000",
    "7,one,400",
    "7,all,400",
    "7,all,17000",
    "7,moving,17000",
    "84,one,17000",
    "84,all,400",
    "84,all,17000",
    "84,moving,400",
    "84,moving,17000",
    "300,all,17000",
    "300,moving,400"
  })
  void isNotExceededByFloodOfEightTimesTheDemand(int instances, String pattern, double cost) {
    QuotaTrial trial = trial(instances, cost);
    trial.offer(8_000, USUAL, pattern(trial, pattern));
    trial.offer(12_000, FLOOD, pattern(trial, pattern));
    assertThat(trial.worstWindow(), lessThanOrEqualTo(1.0));
  }

  /** Guards against restarted instances that start with a quota of their own. */
  @ParameterizedTest
  @ValueSource(doubles = {SMALL, LARGE})
  void isNotExceededWhenHalfOfTheInstancesRestart(double cost) {
    QuotaTrial trial = trial(84, cost);
    trial.offer(12_000, 3 * RATE, trial::anyNode);
    for (int i = 0; i < 84; i += 2) {
      trial.fleet.nodes.get(i).kill();
    }
    trial.offer(1_000, 3 * RATE, trial::anyNode);
    for (int i = 0; i < 84; i += 2) {
      trial.fleet.nodes.get(i).start();
    }
    trial.offer(10_000, 3 * RATE, trial::anyNode);
    assertThat(trial.worstWindow(), lessThanOrEqualTo(1.0));
  }

  /** Guards against both sides of a network partition using the whole quota. */
  @ParameterizedTest
  @CsvSource({"28,true", "28,false", "5,true"})
  void isNotExceededDuringCutOfTenSeconds(int cutOff, boolean bothWays) {
    QuotaTrial trial = trial(84, SMALL);
    var side = trial.fleet.nodes.subList(0, cutOff);
    trial.offer(10_000, 2 * RATE, trial::anyNode);
    trial.fleet.reaches =
        (from, to) -> side.contains(from) == side.contains(to) || !bothWays && side.contains(to);
    trial.offer(10_000, 3 * RATE, trial::anyNode);
    trial.fleet.reaches = (from, to) -> true;
    trial.offer(8_000, 3 * RATE, trial::anyNode);
    assertThat(trial.worstWindow(), lessThanOrEqualTo(1.0));
  }

  /** Guards against shares that are too small for the rare, large requests of a customer. */
  @ParameterizedTest
  @CsvSource({"1,17000", "7,17000", "84,17000", "300,17000", "84,400"})
  void servesCustomersWithinTheirQuota(int instances, double cost) {
    QuotaTrial trial = trial(instances, cost);
    trial.offer(40_000, USUAL, trial::anyNode);
    assertThat(trial.takeAdmittedShare(), greaterThanOrEqualTo(0.99));
  }

  /** Guards against refusals because the callers of a customer changed their instance. */
  @Test
  void servesCustomersThatMoveEachSecond() {
    QuotaTrial trial = trial(84, LARGE);
    trial.offer(30_000, USUAL, pattern(trial, "moving"));
    assertThat(trial.takeAdmittedShare(), greaterThanOrEqualTo(0.99));
  }

  /** Guards against parts of a quota that stay with instances that the customer doesn't use. */
  @ParameterizedTest
  @ValueSource(ints = {1, 84, 300})
  void isUsableAtOneInstance(int instances) {
    QuotaTrial trial = trial(instances, SMALL);
    trial.offer(10_000, 3 * RATE, pattern(trial, "one"));
    long sinceNanos = trial.fleet.nowNanos;
    trial.offer(16_000, 3 * RATE, pattern(trial, "one"));
    assertThat(
        trial.admittedSince(sinceNanos), greaterThanOrEqualTo(0.95 * 2 * BOUNDS.allowance(QUOTA)));
  }

  /** Guards against retry times at which there is still no capacity. */
  @ParameterizedTest
  @ValueSource(ints = {1, 7, 84})
  void namesRetryTimesThatProveTrue(int instances) {
    QuotaTrial trial = trial(instances, SMALL);
    trial.offer(10_000, USUAL, trial::anyNode);
    trial.retrying = true;
    trial.offer(4_000, 3 * RATE, trial::anyNode);
    trial.retrying = false;
    trial.offer(20_000, RATE / 2, trial::anyNode);
    assertThat(trial.retriedShare(), greaterThanOrEqualTo(0.9));
  }
}
