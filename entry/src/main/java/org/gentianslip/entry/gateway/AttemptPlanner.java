package org.gentianslip.entry.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.load.BackendDecision;
import org.gentianslip.core.load.BackendEstimate;
import org.gentianslip.core.load.BackendSelector;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.quarantine.RequestTraits;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.shutdown.RequestTime;
import org.gentianslip.core.shutdown.ShutdownPlan;

/**
 * Chooses the target of each attempt of one request, based on the results of earlier attempts.
 *
 * <p>The request runs at no more backend servers than its route allows, and at each of them at most
 * once. It claims a repeat from the budget of its service for each attempt after the first.
 * Confined to one event loop.
 */
final class AttemptPlanner {

  private static final int MAX_FORWARDS = 2;

  /** The reason for refusing a request that, or a part of whose prompt, crashes engines. */
  static final String QUARANTINED = "quarantined";

  /**
   * The reason for refusing a request as no usable server has the version that began its stream.
   */
  static final String NO_VERSION = "no-version";

  /** The reason for refusing a request as the version that began its stream is not known. */
  static final String UNKNOWN_VERSION = "unknown-version";

  /** The reason for giving a forwarded request back, as this instance can't reach its service. */
  static final String UNREACHED = "unreached";

  /** The retry delay if none can be computed, in milliseconds. */
  static final long DEFAULT_RETRY_MILLIS = 300;

  private final GatewayState state;
  private final Route route;
  private final ServiceId service;
  private final RequestSize size;
  private final RequestTraits traits;
  private final Optional<CustomerId> customer;
  private final BooleanSupplier maySendAgain;
  private final boolean forwarded;
  private final Set<EngineId> possibleRuns = new HashSet<>();
  private final Set<EngineId> excluded = new HashSet<>();
  private final Set<RegionId> excludedRegions = new HashSet<>();
  private int attempts;
  private int forwards;
  private boolean answerBegun;
  private boolean unreachable;
  private VersionLimit versions = VersionLimit.NONE;

  /**
   * Creates a planner.
   *
   * @param customer the customer of the request, if it has one
   * @param maySendAgain tests before each attempt after the first whether the customer's key is
   *     still valid
   */
  AttemptPlanner(
      GatewayState state,
      Route route,
      ServiceId service,
      RequestSize size,
      RequestTraits traits,
      Optional<CustomerId> customer,
      BooleanSupplier maySendAgain,
      boolean forwarded) {
    this.state = state;
    this.route = route;
    this.service = service;
    this.size = size;
    this.traits = traits;
    this.customer = customer;
    this.maySendAgain = maySendAgain;
    this.forwarded = forwarded;
  }

  boolean forwarded() {
    return forwarded;
  }

  ServiceId service() {
    return service;
  }

  RequestSize size() {
    return size;
  }

  RequestTraits traits() {
    return traits;
  }

  /** Counts the request towards the repeat budget, unless the forwarding instance counts it. */
  void countRequest(long nowNanos) {
    if (!forwarded) {
      state.repeats(service).recordRequest(nowNanos);
    }
  }

  /** Chooses the target of the next attempt without claiming a repeat. */
  BackendDecision choose(long nowNanos, long remainingMillis) {
    if (attempts > 0 && !maySendAgain.getAsBoolean()) {
      return new BackendDecision.Refuse(CustomerAdmission.KEY_REVOKED, DEFAULT_RETRY_MILLIS);
    }
    OptionalLong holdNanos =
        state.quarantine().holdNanos(nowNanos, traits, part -> state.triesAgain(nowNanos, part));
    if (holdNanos.isPresent()) {
      return new BackendDecision.Refuse(
          QUARANTINED, TimeUnit.NANOSECONDS.toMillis(holdNanos.getAsLong()));
    }
    return select(nowNanos, remainingMillis);
  }

  /** Chooses as {@link #choose} does, but for the quarantine, and leaves all state as it is. */
  BackendDecision select(long nowNanos, long remainingMillis) {
    boolean unreached = state.reach().isUnreached(service);
    if (forwarded && unreached) {
      return new BackendDecision.Refuse(UNREACHED, DEFAULT_RETRY_MILLIS);
    }
    List<Backend> holders = state.holders(nowNanos, route, size);
    Candidates localCandidates =
        route.allows(state.config().region())
            ? state.localCandidates(nowNanos, service, size, holders, this::mayUse)
            : Candidates.NONE;
    List<RegionOption> regions =
        forwarded || forwards >= MAX_FORWARDS || possibleRuns.size() >= maxBackends()
            ? List.of()
            : state.forwardCandidates(
                nowNanos,
                route,
                service,
                holders,
                this::mayUse,
                unreached || unreachable || state.reach().isReturning(nowNanos, service));
    boolean elsewhere = unreached || (unreachable && isNeighbourAmong(regions));
    BackendDecision decision =
        select(nowNanos, remainingMillis, elsewhere ? Candidates.NONE : localCandidates, regions);
    boolean refused = decision instanceof BackendDecision.Refuse;
    if (elsewhere && refused && !state.isStranded(nowNanos, service)) {
      decision = select(nowNanos, remainingMillis, localCandidates, regions);
    }
    if (decision instanceof BackendDecision.Refuse && versions.begun() && !hasVersion()) {
      return new BackendDecision.Refuse(NO_VERSION, DEFAULT_RETRY_MILLIS);
    }
    return maySend(nowNanos, decision, remainingMillis)
        ? decision
        : new BackendDecision.Refuse(Gateway.LEAVING, 0);
  }

  private BackendDecision select(
      long nowNanos, long remainingMillis, Candidates local, List<RegionOption> regions) {
    return BackendSelector.select(
        nowNanos, route, size, remainingMillis, local, regions, limitFactor(nowNanos));
  }

  private boolean isNeighbourAmong(List<RegionOption> regions) {
    return regions.stream()
        .anyMatch(r -> r.region().equals(state.config().region()) && r.delayMillis() <= 0);
  }

  /** Records that this instance seems to be cut off, so that a neighbour is tried next. */
  void markUnreachable() {
    unreachable = true;
  }

  /** Returns the part of the limit that applies, which is smaller beyond a customer's share. */
  private double limitFactor(long nowNanos) {
    if (customer.isEmpty()) {
      return 1;
    }
    return state
        .published()
        .routes()
        .flatMap(RouteTable::customers)
        .map(c -> state.customerWork().limitFactor(nowNanos, service, customer.get(), c))
        .orElse(1.0);
  }

  /** Records the work of a request of a customer that is sent to a backend server. */
  void recordWork(long nowNanos, BackendEstimate estimate) {
    customer.ifPresent(
        c ->
            state
                .customerWork()
                .record(nowNanos, service, c, estimate.prefillMillis() + estimate.serviceMillis()));
  }

  /**
   * Returns whether this instance will last long enough for a decision. A stream that has begun is
   * continued in any case, as no failure can be sent in its place.
   */
  private boolean maySend(long nowNanos, BackendDecision decision, long remainingMillis) {
    Optional<ShutdownPlan> plan = state.shutdownPlan();
    if (plan.isEmpty() || answerBegun || decision instanceof BackendDecision.Refuse) {
      return true;
    }
    var time =
        new RequestTime(
            route.streaming(),
            route.repeatability().allowsRepeat(),
            completeMillis(decision),
            remainingMillis);
    return plan.get().maySend(nowNanos, time);
  }

  /** Returns the expected time to the complete answer; a stream lasts beyond its first event. */
  double completeMillis(BackendDecision decision) {
    double minMillis = route.streaming() ? route.objectiveMillis() : 0;
    if (decision instanceof BackendDecision.ToBackend toBackend) {
      return Math.max(minMillis, toBackend.estimate().completeMillis());
    }
    if (decision instanceof BackendDecision.ToRegion toRegion) {
      return Math.max(minMillis, toRegion.expectedMillis());
    }
    return minMillis;
  }

  /**
   * Limits further attempts to backend servers with the version that began the stream.
   *
   * @param version the version; if it is not known, no backend server may go on
   */
  void requireVersion(Optional<SoftwareVersion> version) {
    versions = VersionLimit.of(version);
  }

  /** Returns which backend servers may serve the request, by their version. */
  VersionLimit versions() {
    return versions;
  }

  /** Returns whether this instance may use a server with the version, here or by forwarding. */
  private boolean hasVersion() {
    return forwarded
        ? state.hasBackend(state.config().region(), service, excluded, versions)
        : isPublishedBesides(excluded);
  }

  /** Returns whether another server that some instance may use can go on with the stream. */
  boolean hasVersionElsewhere(EngineId current) {
    if (!versions.begun()) {
      return true;
    }
    Set<EngineId> exceptions = new HashSet<>(excluded);
    exceptions.add(current);
    return isPublishedBesides(exceptions);
  }

  private boolean isPublishedBesides(Set<EngineId> exceptions) {
    return state.config().regions().values().stream()
        .distinct()
        .filter(route::allows)
        .anyMatch(r -> state.hasBackend(r, service, exceptions, versions));
  }

  /** Records that a part of the answer was passed on to the caller. */
  void markAnswerBegun() {
    answerBegun = true;
  }

  /** Chooses the target of the next attempt and claims a repeat for it. */
  BackendDecision chooseWithRepeat(long nowNanos, long remainingMillis) {
    return claimRepeat(nowNanos, choose(nowNanos, remainingMillis));
  }

  /** Claims a repeat for a decision; returns a refusal instead if none is left. */
  BackendDecision claimRepeat(long nowNanos, BackendDecision decision) {
    boolean needsNoRepeat = attempts == 0 || decision instanceof BackendDecision.Refuse;
    if (needsNoRepeat || state.repeats(service).tryTake(nowNanos, state.extraRepeatShare())) {
      return decision;
    }
    return new BackendDecision.Refuse("no-repeat", DEFAULT_RETRY_MILLIS);
  }

  /** Returns how many backend servers may run the request, which is one if it was forwarded. */
  private int maxBackends() {
    return forwarded ? 1 : route.maxBackends();
  }

  private boolean mayUse(EngineId backend) {
    return !excluded.contains(backend)
        && !excludedRegions.contains(state.config().region())
        && possibleRuns.size() < maxBackends()
        && hasAllowedVersion(backend);
  }

  private boolean mayUse(RegionId region) {
    boolean untried = excluded.isEmpty() && excludedRegions.isEmpty() && !versions.begun();
    return untried
        || (!excludedRegions.contains(region)
            && state.hasBackend(region, service, excluded, versions));
  }

  private boolean hasAllowedVersion(EngineId backend) {
    Backend published = state.published().backends().get(backend);
    return !versions.begun() || (published != null && versions.allows(published));
  }

  /** Returns whether the request may run at a further backend server besides the current one. */
  boolean mayUseAnotherBackend() {
    return possibleRuns.size() + 1 < maxBackends();
  }

  /** Counts an attempt. */
  void countAttempt() {
    attempts++;
  }

  /** Counts an attempt at an instance of another region. */
  void countForward() {
    forwards++;
  }

  /** Returns whether an attempt was made. */
  boolean hasAttempted() {
    return attempts > 0;
  }

  /** Returns the backend servers that the request must not be sent to. */
  Set<EngineId> excluded() {
    return excluded;
  }

  /** Returns the backend servers that may have run the request. */
  Set<EngineId> possibleRuns() {
    return possibleRuns;
  }

  /** Records that a backend server may have run the request. */
  void recordPossibleRun(EngineId backend) {
    possibleRuns.add(backend);
    excluded.add(backend);
  }

  /** Excludes a backend server from further attempts. */
  void exclude(EngineId backend) {
    excluded.add(backend);
  }

  /** Excludes a region, where the request may have run at a backend server that is not known. */
  void exclude(RegionId region) {
    excludedRegions.add(region);
  }

  /** Allows attempts at a backend server again. */
  void include(EngineId backend) {
    excluded.remove(backend);
  }

  /** Allows attempts in a region again. */
  void include(RegionId region) {
    excludedRegions.remove(region);
  }
}
