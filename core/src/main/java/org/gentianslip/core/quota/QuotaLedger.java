package org.gentianslip.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.gentianslip.core.customer.Quota;
import org.gentianslip.core.id.CustomerId;

/**
 * The quotas of all customers at one instance, and what instances report of them to each other.
 *
 * <p>A member reports its own usage to the relay of its data centre and learns from the response
 * what the other instances of the data centre use. The sums of the data centres travel in their
 * summaries. Customers without usage take no memory. Thread-safe.
 */
public final class QuotaLedger {

  /** The number of customers that are kept; others are reported by nobody and not kept. */
  private static final int MAX_CUSTOMERS = 10_000;

  private final QuotaBounds bounds;
  private final long startedNanos;
  private final double seed;
  private final Map<CustomerId, QuotaWindow> windows = new ConcurrentHashMap<>();

  /**
   * Creates a ledger without usage.
   *
   * @param startedNanos when this process started
   * @param seed a number from 0 to 1 that differs between instances
   */
  public QuotaLedger(QuotaBounds bounds, long startedNanos, double seed) {
    this.bounds = bounds;
    this.startedNanos = startedNanos;
    this.seed = seed;
  }

  private QuotaWindow window(CustomerId customer) {
    return windows.computeIfAbsent(customer, this::newWindow);
  }

  private QuotaWindow newWindow(CustomerId customer) {
    return new QuotaWindow(customer, bounds, startedNanos, seed);
  }

  /**
   * Decides on a request of a caller and counts it if it is admitted.
   *
   * @param tokens what the request counts as
   * @param fleet what is known of other instances
   */
  public QuotaDecision admit(
      long nowNanos, CustomerId customer, Quota quota, double tokens, FleetUsage fleet) {
    var decision = new AtomicReference<QuotaDecision>();
    windows.compute(
        customer,
        (c, known) -> {
          QuotaWindow window = known == null ? newWindow(c) : known;
          decision.set(window.decide(nowNanos, quota, tokens, fleet));
          return window;
        });
    return decision.get();
  }

  /** Takes back the tokens of a request that was not run. */
  public void cancel(QuotaGrant grant) {
    QuotaWindow window = windows.get(grant.customer());
    if (window != null && grant.tokens() > 0) {
      window.cancel(grant);
    }
  }

  /**
   * Returns the inputs of decisions made now, by customer that has sent requests to this instance.
   *
   * @param fleet returns what is known of other instances
   */
  public Map<CustomerId, QuotaState> states(long nowNanos, Function<CustomerId, FleetUsage> fleet) {
    Map<CustomerId, QuotaState> states = new TreeMap<>();
    windows.forEach(
        (customer, window) ->
            window.state(nowNanos, fleet.apply(customer)).ifPresent(s -> states.put(customer, s)));
    return states;
  }

  /** Returns the usage of this instance, by customer with usage. */
  public Map<CustomerId, QuotaUsage> own(long nowNanos) {
    return collect(w -> w.own(nowNanos));
  }

  /** Returns the usage of this instance for the relay, by customer with usage. */
  public Map<CustomerId, QuotaUsage> report(long nowNanos) {
    return collect(w -> w.report(nowNanos));
  }

  /** Returns whether the demand of a customer is much higher than this instance has reported. */
  public boolean hasSurge(long nowNanos) {
    return windows.values().stream().anyMatch(w -> w.hasSurge(nowNanos));
  }

  /**
   * Returns the usage of the data centre, by customer with usage.
   *
   * @param former what another relay of the data centre last published, which may know more as long
   *     as not all members have reported to this one
   */
  public Map<CustomerId, QuotaUsage> centre(long nowNanos, Map<CustomerId, HeardUsage> former) {
    Map<CustomerId, QuotaUsage> sums =
        collect(w -> w.own(nowNanos).plus(w.centreWithout(nowNanos, null)));
    former.forEach(
        (customer, heard) -> {
          QuotaUsage left = heard.at(nowNanos, bounds.windowNanos());
          if (!left.isNone()) {
            sums.merge(customer, left, QuotaUsage::max);
          }
        });
    return sums;
  }

  /** Returns the usage of the data centre without one instance, by customer with usage. */
  public Map<CustomerId, QuotaUsage> centreWithout(long nowNanos, UsageSource excluded) {
    return collect(w -> w.own(nowNanos).plus(w.centreWithout(nowNanos, excluded)));
  }

  private Map<CustomerId, QuotaUsage> collect(Function<QuotaWindow, QuotaUsage> usage) {
    Map<CustomerId, QuotaUsage> byCustomer = new HashMap<>();
    windows.forEach(
        (customer, window) ->
            Optional.of(usage.apply(window))
                .filter(u -> !u.isNone())
                .ifPresent(u -> byCustomer.put(customer, u)));
    return byCustomer;
  }

  /** Applies what a member of the data centre reports of itself. */
  public void applyMember(long nowNanos, UsageSource member, Map<CustomerId, QuotaUsage> usage) {
    apply(usage, (window, u) -> window.recordMember(nowNanos, member, u));
  }

  /** Applies what the relay reports of the other instances of the data centre. */
  public void applyRelay(long nowNanos, Map<CustomerId, QuotaUsage> usage) {
    apply(usage, (window, u) -> window.recordTold(nowNanos, u));
  }

  /** Applies a complete report: customers that it doesn't name have no usage at its source. */
  private void apply(
      Map<CustomerId, QuotaUsage> usage, BiConsumer<QuotaWindow, QuotaUsage> action) {
    windows.forEach(
        (customer, window) -> {
          if (!usage.containsKey(customer)) {
            action.accept(window, QuotaUsage.NONE);
          }
        });
    usage.forEach(
        (customer, u) -> {
          if (windows.containsKey(customer) || windows.size() < MAX_CUSTOMERS) {
            action.accept(window(customer), u);
          }
        });
  }

  /** Forgets customers of whose work nothing is left; must be called from time to time. */
  public void forgetIdle(long nowNanos) {
    for (CustomerId customer : windows.keySet()) {
      windows.computeIfPresent(customer, (c, window) -> window.isIdle(nowNanos) ? null : window);
    }
  }
}
