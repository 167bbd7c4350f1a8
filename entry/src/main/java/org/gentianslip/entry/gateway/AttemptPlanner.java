package org.gentianslip.entry.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.BackendDecision;
import org.gentianslip.core.load.BackendSelector;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.quarantine.RequestTraits;
import org.gentianslip.core.route.Route;

/**
 * Chooses the target of each attempt of one request, based on the results of earlier attempts.
 *
 * <p>The request runs at no more backend servers than its route allows, is not sent to excluded
 * backend servers, and claims a repeat from the budget of its service for each attempt after the
 * first. Confined to one event loop.
 */
final class AttemptPlanner {

  private static final int MAX_FORWARDS = 2;

  /** The reason for refusing a request that, or a part of whose prompt, crashes engines. */
  static final String QUARANTINED = "quarantined";

  /** The retry delay if none can be computed, in milliseconds. */
  static final long DEFAULT_RETRY_MILLIS = 300;

  private final GatewayState state;
  private final Route route;
  private final ServiceId service;
  private final RequestSize size;
  private final RequestTraits traits;
  private final boolean forwarded;
  private final Set<EngineId> possibleRuns = new HashSet<>();
  private final Set<EngineId> excluded = new HashSet<>();
  private int attempts;
  private int forwards;

  AttemptPlanner(
      GatewayState state,
      Route route,
      ServiceId service,
      RequestSize size,
      RequestTraits traits,
      boolean forwarded) {
    this.state = state;
    this.route = route;
    this.service = service;
    this.size = size;
    this.traits = traits;
    this.forwarded = forwarded;
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
    OptionalLong holdNanos =
        state.quarantine().holdNanos(nowNanos, traits, part -> state.triesAgain(nowNanos, part));
    if (holdNanos.isPresent()) {
      return new BackendDecision.Refuse(
          QUARANTINED, TimeUnit.NANOSECONDS.toMillis(holdNanos.getAsLong()));
    }
    List<Backend> holders = state.holders(nowNanos, route, size);
    Candidates localCandidates =
        route.allows(state.config().region())
            ? state.localCandidates(nowNanos, service, size, holders, this::mayUse)
            : Candidates.NONE;
    List<RegionOption> regions =
        forwarded || forwards >= MAX_FORWARDS || possibleRuns.size() >= maxBackends()
            ? List.of()
            : state.forwardCandidates(nowNanos, route, service, holders);
    return BackendSelector.select(nowNanos, route, size, remainingMillis, localCandidates, regions);
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
        && (possibleRuns.contains(backend) || possibleRuns.size() < maxBackends());
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

  /** Records that a backend server may have run the request. */
  void recordPossibleRun(EngineId backend) {
    possibleRuns.add(backend);
  }

  /** Excludes a backend server from further attempts. */
  void exclude(EngineId backend) {
    excluded.add(backend);
  }

  /** Allows further attempts at a backend server that was excluded. */
  void include(EngineId backend) {
    excluded.remove(backend);
  }
}
