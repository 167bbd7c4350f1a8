package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.gentianslip.core.customer.Quota;
import org.gentianslip.core.fleet.FleetSimulation.Node;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.quota.FleetUsage;
import org.gentianslip.core.quota.QuotaBounds;
import org.gentianslip.core.quota.QuotaDecision;

/** Plays the requests of one customer at the instances of a fleet. Confined to one thread. */
final class QuotaTrial {

  private static final CustomerId CUSTOMER = CustomerId.of("maple");
  private static final int STEP_MILLIS = 10;

  private record Admission(long nanos, double tokens) {}

  private record Retry(long atNanos, Node node) {}

  final FleetSimulation fleet;
  private final QuotaBounds bounds;
  private final Quota quota;
  private final double cost;
  private final Random random = new Random(7);
  private final List<Admission> admissions = new ArrayList<>();
  private final List<Retry> retries = new ArrayList<>();
  boolean retrying;
  private long offered;
  private long admitted;
  private long retried;
  private long retriedAdmitted;

  /** Creates a trial in which each request has the same cost. */
  QuotaTrial(FleetSimulation fleet, QuotaBounds bounds, Quota quota, double cost) {
    this.fleet = fleet;
    this.bounds = bounds;
    this.quota = quota;
    this.cost = cost;
    fleet.quotaBounds = bounds;
    fleet.startAll();
    fleet.runMillis(bounds.windowNanos() / FleetSimulation.MILLI + 8_000);
  }

  /**
   * Offers requests at random times.
   *
   * @param tokensPerSecond the mean of the tokens requested
   * @param choice the node that receives a request
   */
  void offer(long millis, double tokensPerSecond, Function<Random, Node> choice) {
    double meanPerStep = tokensPerSecond / cost * STEP_MILLIS / 1_000;
    for (long at = 0; at < millis; at += STEP_MILLIS) {
      fleet.runMillis(STEP_MILLIS);
      takeRetries();
      double left = meanPerStep + Math.log(1 - random.nextDouble());
      while (left > 0) {
        request(choice.apply(random));
        left += Math.log(1 - random.nextDouble());
      }
    }
  }

  private void takeRetries() {
    for (Retry r : List.copyOf(retries)) {
      if (r.atNanos() <= fleet.nowNanos) {
        retries.remove(r);
        retried++;
        retriedAdmitted += decide(r.node()) instanceof QuotaDecision.Admitted ? 1 : 0;
      }
    }
  }

  private void request(Node node) {
    if (!node.running) {
      return;
    }
    offered++;
    QuotaDecision decision = decide(node);
    if (decision instanceof QuotaDecision.Admitted) {
      admitted++;
    } else if (retrying && decision instanceof QuotaDecision.Refused refused) {
      long at = fleet.nowNanos + refused.retryAfterMillis() * FleetSimulation.MILLI;
      retries.add(new Retry(at, node));
    }
  }

  private QuotaDecision decide(Node node) {
    FleetUsage known = node.view.usageOf(fleet.nowNanos, CUSTOMER);
    QuotaDecision decision = node.quotas.admit(fleet.nowNanos, CUSTOMER, quota, cost, known);
    if (decision instanceof QuotaDecision.Admitted) {
      admissions.add(new Admission(fleet.nowNanos, cost));
    }
    return decision;
  }

  Node anyNode(Random from) {
    return fleet.nodes.get(from.nextInt(fleet.nodes.size()));
  }

  /** Returns the most tokens admitted in any window, as a fraction of what must not be exceeded. */
  double worstWindow() {
    double worst = 0;
    double sum = 0;
    int first = 0;
    for (Admission a : admissions) {
      sum += a.tokens();
      while (a.nanos() - admissions.get(first).nanos() >= bounds.windowNanos()) {
        sum -= admissions.get(first++).tokens();
      }
      worst = Math.max(worst, sum);
    }
    return worst / bounds.ceiling(quota);
  }

  /** Returns the fraction of the offered requests that were admitted, and counts anew. */
  double takeAdmittedShare() {
    double share = offered == 0 ? 1 : (double) admitted / offered;
    offered = 0;
    admitted = 0;
    return share;
  }

  /** Returns the fraction of the repeated requests that were admitted. */
  double retriedShare() {
    return (double) retriedAdmitted / retried;
  }

  /** Returns the tokens admitted in the last part of the trial. */
  double admittedSince(long nanos) {
    return admissions.stream().filter(a -> a.nanos() > nanos).mapToDouble(Admission::tokens).sum();
  }
}
