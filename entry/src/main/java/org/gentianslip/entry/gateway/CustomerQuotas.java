package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.gentianslip.core.customer.Quota;
import org.gentianslip.core.fleet.FleetView;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.quota.QuotaBounds;
import org.gentianslip.core.quota.QuotaDecision;
import org.gentianslip.core.quota.QuotaGrant;
import org.gentianslip.core.quota.QuotaLedger;
import org.gentianslip.core.quota.QuotaState;

/**
 * The quotas of customers at this instance, with their log lines and counts. Safe for use by
 * several threads.
 */
public final class CustomerQuotas {

  /** The customers that are counted by name; all further ones are counted together. */
  static final int MAX_COUNTED = 64;

  /** The name under which further customers are counted. */
  static final String OTHER = "other";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final FleetView fleet;
  private final QuotaLedger ledger;
  private final Map<String, Counts> counts = new ConcurrentHashMap<>();

  /** The requests of a customer since the start of this process. */
  record Counts(LongAdder admitted, LongAdder refused, LongAdder returned) {
    Counts() {
      this(new LongAdder(), new LongAdder(), new LongAdder());
    }
  }

  CustomerQuotas(FleetView fleet, QuotaBounds bounds, long startedNanos) {
    this.fleet = fleet;
    this.ledger = new QuotaLedger(bounds, startedNanos, ThreadLocalRandom.current().nextDouble());
  }

  /** Returns what this instance and others admitted, to be exchanged with them. */
  public QuotaLedger ledger() {
    return ledger;
  }

  /**
   * Decides on a request of a caller and counts it.
   *
   * @param request the id of the request, for the log
   * @param tokens what the request counts as
   */
  QuotaDecision admit(
      long nowNanos, String request, CustomerId customer, Quota quota, double tokens) {
    QuotaDecision decision =
        ledger.admit(nowNanos, customer, quota, tokens, fleet.usageOf(nowNanos, customer));
    Counts counted = countsOf(customer);
    if (decision instanceof QuotaDecision.Refused refused) {
      counted.refused().increment();
      QuotaState state = refused.state();
      LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "quota: event=refused id=%s customer=%s reason=%s tokens=%s allowance=%s usable=%s"
              + " own=%s others=%s weight=%.4f instances=%s age-millis=%s retry-millis=%s",
          request,
          customer,
          refused.reason(),
          Math.round(tokens),
          Math.round(state.allowance()),
          Math.round(state.usable()),
          Math.round(state.own()),
          Math.round(state.others()),
          state.weight(),
          state.instances(),
          state.ageMillis(),
          refused.retryAfterMillis());
    } else {
      counted.admitted().increment();
    }
    return decision;
  }

  /** Takes back the tokens of a request that was not run. */
  void cancel(QuotaGrant grant) {
    if (grant.tokens() == 0) {
      return;
    }
    ledger.cancel(grant);
    countsOf(grant.customer()).returned().increment();
    LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "quota: event=returned customer=%s tokens=%s",
        grant.customer(), Math.round(grant.tokens()));
  }

  /** Returns the inputs of decisions made now, by customer that has sent requests. */
  Map<CustomerId, QuotaState> states(long nowNanos) {
    return ledger.states(nowNanos, customer -> fleet.usageOf(nowNanos, customer));
  }

  /** Returns the counts of a customer, or those of all further customers together. */
  Counts countsOf(CustomerId customer) {
    Counts known = counts.get(customer.value());
    return known != null ? known : addCounts(customer);
  }

  private synchronized Counts addCounts(CustomerId customer) {
    String name = counts.size() < MAX_COUNTED ? customer.value() : OTHER;
    return counts.computeIfAbsent(name, n -> new Counts());
  }

  /** Returns the counts by customer, with one entry for all further customers. */
  Map<String, Counts> counts() {
    return Map.copyOf(counts);
  }
}
