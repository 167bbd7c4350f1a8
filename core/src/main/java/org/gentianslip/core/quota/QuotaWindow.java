package org.gentianslip.core.quota;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.customer.Quota;
import org.gentianslip.core.id.CustomerId;

/**
 * The quota of one customer at one instance.
 *
 * <p>Adds up what this instance admitted and what it knows of others, and decides on requests.
 * Thread-safe.
 */
final class QuotaWindow {

  /** The time in which a report reaches all instances; see docs/design/quotas.md. */
  static final long PROPAGATION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** The part of the allowance that is divided equally, for demand that is not known yet. */
  private static final double EQUAL_PART = 0.1;

  /** The number of instances assumed until more of them are known. */
  private static final int MIN_INSTANCES = 8;

  /**
   * The growth of a customer's demand that is expected until others know of it. Floods of 8 times
   * the usual demand stay within the bound, as part of them is known sooner. With 3.5, they
   * exceeded it by 2 % at 300 instances.
   */
  private static final double FLOOD_FACTOR = 4.5;

  /** The part of the tokens of a window that the expected peak may reach. */
  private static final double PEAK_PART = 0.95;

  /** The usual demand assumed of a customer of whom less is known, as a fraction of its rate. */
  private static final double ASSUMED_DEMAND = 0.25;

  /** The time within which most instances know of a change of the demand. */
  private static final double FLOOD_SECONDS = 2;

  /**
   * The part of what becomes free that repeated requests can expect. With 0.5, up to a third of the
   * retry times were too early.
   */
  private static final double RETRY_PART = 0.35;

  /** The growth of the own demand that is reported at once. */
  private static final double SURGE_FACTOR = 2;

  /** Multiples of it, without their whole part, are spread evenly between 0 and 1. */
  private static final double GOLDEN_FRACTION = 0.618034;

  /** The longest retry time, in windows. */
  private static final int MAX_WINDOWS = 3;

  private static final long RETRY_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PROPAGATION_SECONDS = PROPAGATION_NANOS / NANOS_PER_SECOND;

  private final CustomerId customer;
  private final QuotaBounds bounds;
  private final long startedNanos;
  private final SlidingTokens admitted;
  private final SlidingTokens requested;
  private final SlidingTokens promised;
  private final Map<UsageSource, HeardUsage> members = new ConcurrentHashMap<>();
  private volatile HeardUsage told;
  private double reportedPerSecond;
  private Optional<Quota> lastQuota = Optional.empty();
  private double retryPhase;

  /**
   * Creates a window without requests.
   *
   * @param startedNanos when this process started; it doesn't know what was admitted before
   * @param seed a number from 0 to 1 that differs between instances
   */
  QuotaWindow(CustomerId customer, QuotaBounds bounds, long startedNanos, double seed) {
    this.customer = customer;
    this.bounds = bounds;
    this.startedNanos = startedNanos;
    this.admitted = new SlidingTokens(bounds.windowNanos());
    this.requested = new SlidingTokens(2 * PROPAGATION_NANOS);
    this.promised = new SlidingTokens(MAX_WINDOWS * bounds.windowNanos());
    this.told = new HeardUsage(QuotaUsage.NONE, startedNanos);
    this.retryPhase = seed;
  }

  /** Records what a member of the data centre reported to this instance. */
  void recordMember(long nowNanos, UsageSource member, QuotaUsage usage) {
    if (usage.isNone()) {
      members.remove(member);
    } else {
      members.put(member, new HeardUsage(usage, nowNanos));
    }
  }

  /** Records what the relay told of the other instances of the data centre. */
  void recordTold(long nowNanos, QuotaUsage usage) {
    told = new HeardUsage(usage, nowNanos);
  }

  /** Returns what this instance reports of itself. */
  synchronized QuotaUsage own(long nowNanos) {
    return new QuotaUsage(
        admitted.last(nowNanos, bounds.windowNanos()),
        requested.last(nowNanos, PROPAGATION_NANOS) / PROPAGATION_SECONDS);
  }

  /**
   * Returns the usage of the data centre without this instance and a given one.
   *
   * <p>A new relay doesn't have the reports of all members yet; therefore what the previous relay
   * told counts until it expires, less the given instance's own part of it.
   */
  QuotaUsage centreWithout(long nowNanos, UsageSource excluded) {
    QuotaUsage sum = QuotaUsage.NONE;
    for (Map.Entry<UsageSource, HeardUsage> e : members.entrySet()) {
      if (e.getValue().isExpired(nowNanos, bounds.windowNanos())) {
        members.remove(e.getKey(), e.getValue());
      } else if (!e.getKey().equals(excluded)) {
        sum = sum.plus(e.getValue().at(nowNanos, bounds.windowNanos()));
      }
    }
    QuotaUsage before = told.at(nowNanos, bounds.windowNanos());
    HeardUsage part = excluded == null ? null : members.get(excluded);
    return sum.max(part == null ? before : before.minus(part.usage()));
  }

  /** Returns what this instance reports of itself, and remembers it as reported. */
  synchronized QuotaUsage report(long nowNanos) {
    QuotaUsage own = own(nowNanos);
    reportedPerSecond = own.requestedPerSecond();
    return own;
  }

  /** Returns whether the demand at this instance is much higher than reported. */
  synchronized boolean hasSurge(long nowNanos) {
    return own(nowNanos).requestedPerSecond() > SURGE_FACTOR * reportedPerSecond;
  }

  /** Returns whether nothing is left of this customer's work and of the reports of it. */
  synchronized boolean isIdle(long nowNanos) {
    return own(nowNanos).isNone()
        && members.values().stream().allMatch(m -> m.isExpired(nowNanos, bounds.windowNanos()))
        && (told.usage().isNone() || told.isExpired(nowNanos, bounds.windowNanos()));
  }

  /** Takes back the tokens of a request that was not run. */
  synchronized void cancel(QuotaGrant grant) {
    admitted.remove(grant.admittedNanos(), grant.tokens());
  }

  /** Returns the inputs of a decision made now, if there was one before. */
  synchronized Optional<QuotaState> state(long nowNanos, FleetUsage fleet) {
    return lastQuota.map(q -> inputs(nowNanos, q, fleet).state());
  }

  /** Decides on a request and counts it if it is admitted. */
  synchronized QuotaDecision decide(long nowNanos, Quota quota, double tokens, FleetUsage fleet) {
    Inputs in = inputs(nowNanos, quota, fleet);
    requested.add(nowNanos, tokens);
    lastQuota = Optional.of(quota);
    double excess = in.state().others() + in.state().own() + tokens - in.state().usable();
    if (excess > 0) {
      return refuse(nowNanos, QuotaDecision.OVER_QUOTA, in, tokens, excess);
    }
    double recent = in.recent() + tokens;
    boolean withinShare = recent <= in.weightedShare();
    if (!withinShare && in.expectedPeak(recent) > PEAK_PART * in.ceiling()) {
      return refuse(nowNanos, QuotaDecision.OVER_SHARE, in, tokens, 0);
    }
    admitted.add(nowNanos, tokens);
    return new QuotaDecision.Admitted(new QuotaGrant(customer, tokens, nowNanos));
  }

  /**
   * What a decision rests on.
   *
   * @param recent what this instance admitted in the last propagation time
   * @param old what this instance admitted in the window before that
   * @param others what others admitted, or are assumed to have admitted before this start
   * @param demand the demand of others, in tokens per second
   * @param rate the rate of the quota
   * @param ceiling the tokens of a window that must not be exceeded
   * @param leavingPart the part of the steady work of others that leaves the window before most
   *     instances know of a change of the demand
   */
  private record Inputs(
      QuotaState state,
      double recent,
      double old,
      double others,
      double demand,
      double rate,
      double ceiling,
      double leavingPart) {

    /** Returns the fraction of the work of others that isn't recent, as their demand shows. */
    double steadyPart() {
      double recent = demand * PROPAGATION_SECONDS;
      return state.others() > recent ? 1 - recent / state.others() : 0;
    }

    /** Returns what this instance may admit in a propagation time by its share of the demand. */
    double weightedShare() {
      return state.weight() * (ceiling - others - old);
    }

    /**
     * Returns the tokens of a window if every other instance also admits a number of tokens in this
     * propagation time, as far as the demand can have grown meanwhile.
     */
    double expectedPeak(double each) {
      double usual = Math.max(ASSUMED_DEMAND * rate, Math.min(rate, demand));
      double flood = Math.max(demand, FLOOD_FACTOR * usual) * FLOOD_SECONDS;
      double most = (state.instances() - 1) * each;
      double leaving = steadyPart() * state.others() * leavingPart;
      return others - Math.min(others, leaving) + old + each + most * -Math.expm1(-flood / most);
    }
  }

  private Inputs inputs(long nowNanos, Quota quota, FleetUsage fleet) {
    long window = bounds.windowNanos();
    double own = admitted.last(nowNanos, window);
    double recent = Math.min(own, admitted.last(nowNanos, PROPAGATION_NANOS));
    QuotaUsage others = centreWithout(nowNanos, null);
    long oldest = nowNanos;
    for (HeardUsage centre : fleet.centres()) {
      others = others.plus(centre.at(nowNanos, window));
      oldest = centre.isExpired(nowNanos, window) ? oldest : Math.min(oldest, centre.heardNanos());
    }
    double allowance = bounds.allowance(quota);
    double ceiling = bounds.ceiling(quota) * fleet.reachable();
    double unknown = allowance * Math.max(0, 1 - (double) (nowNanos - startedNanos) / window);
    int instances = Math.max(MIN_INSTANCES, fleet.instances());
    double before =
        (requested.last(nowNanos, 2 * PROPAGATION_NANOS)
                - requested.last(nowNanos, PROPAGATION_NANOS))
            / PROPAGATION_SECONDS;
    double all = before + others.requestedPerSecond();
    double weight = EQUAL_PART / instances + (all > 0 ? (1 - EQUAL_PART) * before / all : 0);
    var state =
        new QuotaState(
            allowance,
            Math.min(allowance, ceiling),
            own,
            others.windowTokens(),
            weight,
            instances,
            TimeUnit.NANOSECONDS.toMillis(nowNanos - oldest));
    return new Inputs(
        state,
        recent,
        own - recent,
        Math.max(others.windowTokens(), unknown),
        others.requestedPerSecond(),
        quota.tokensPerSecond(),
        ceiling,
        Math.min(1, FLOOD_SECONDS * NANOS_PER_SECOND / Math.max(1, window - PROPAGATION_NANOS)));
  }

  /**
   * Returns the time until the window has room for a number of tokens, in nanoseconds.
   *
   * <p>Of the work of others as much counts as recent as their demand can have led to. A part of
   * what becomes free goes to new requests.
   */
  private long timeToFree(long nowNanos, Inputs in, double tokens) {
    long window = bounds.windowNanos();
    double recentPart = Math.min(0.9, (double) PROPAGATION_NANOS / window);
    double old = in.state().others() * in.steadyPart();
    double recent = in.state().others() - old;
    for (long wait = RETRY_STEP_NANOS; wait < MAX_WINDOWS * window; wait += RETRY_STEP_NANOS) {
      double passed = (double) wait / window;
      double freed =
          in.state().own()
              - admitted.last(nowNanos, Math.max(0, window - wait))
              + old * Math.min(1, passed / (1 - recentPart))
              + recent * Math.min(1, Math.max(0, (passed - 1 + recentPart) / recentPart))
              + in.state().allowance() * Math.max(0, passed - 1);
      if (freed * RETRY_PART >= tokens) {
        return wait;
      }
    }
    return MAX_WINDOWS * window;
  }

  /**
   * Refuses a request. Its retry time comes after those of the requests refused before, here and in
   * proportion elsewhere, as they could not all be admitted at the same time.
   *
   * @param excess the tokens by which the request exceeds what is left
   */
  private QuotaDecision refuse(
      long nowNanos, String reason, Inputs in, double tokens, double excess) {
    long longest = MAX_WINDOWS * bounds.windowNanos();
    double demand = requested.last(nowNanos, PROPAGATION_NANOS) / PROPAGATION_SECONDS;
    double instances = demand > 0 ? 1 + in.demand() / demand : 1;
    retryPhase = (retryPhase + GOLDEN_FRACTION) % 1;
    double ahead = promised.last(nowNanos + longest, longest) + retryPhase * tokens;
    long wait = timeToFree(nowNanos, in, Math.max(0, excess) + ahead * instances);
    if (reason.equals(QuotaDecision.OVER_SHARE)) {
      long unknown = PROPAGATION_NANOS + (long) (retryPhase * bounds.windowNanos());
      wait = Math.max(wait, unknown);
    }
    promised.add(nowNanos + wait, tokens);
    return new QuotaDecision.Refused(reason, TimeUnit.NANOSECONDS.toMillis(wait), in.state());
  }
}
