package org.gentianslip.entry.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.BackendDecision;
import org.gentianslip.core.load.BackendSelector;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.Route;

/**
 * Decides where one request goes next, from what became of it before.
 *
 * <p>It runs at no more backend servers than its route allows, returns to none that was left out,
 * and takes a repeat of its service for each attempt after the first. Used on one event loop only.
 */
final class Placement {

  private static final int MAX_FORWARDS = 2;

  /** What is told of the wait while none can be computed, in milliseconds. */
  static final long RETRY_UNKNOWN_MILLIS = 300;

  private final GatewayState state;
  private final Route route;
  private final ServiceId service;
  private final RequestSize size;
  private final boolean forwarded;
  private final Set<EngineId> ran = new HashSet<>();
  private final Set<EngineId> excluded = new HashSet<>();
  private int attempts;
  private int forwards;

  Placement(
      GatewayState state, Route route, ServiceId service, RequestSize size, boolean forwarded) {
    this.state = state;
    this.route = route;
    this.service = service;
    this.size = size;
    this.forwarded = forwarded;
  }

  RequestSize size() {
    return size;
  }

  /** Counts the request; one that was forwarded counts at the instance that its caller chose. */
  void countRequest(long nowNanos) {
    if (!forwarded) {
      state.repeats(service).request(nowNanos);
    }
  }

  /** Chooses the place of the next attempt, without any claim on it. */
  BackendDecision choose(long nowNanos, long remainingMillis) {
    List<Backend> holders = state.holders(nowNanos, route, size);
    Candidates here =
        route.allows(state.place().region())
            ? state.candidates(nowNanos, service, size, holders, this::mayUse)
            : Candidates.NONE;
    List<RegionOption> regions =
        forwarded || forwards >= MAX_FORWARDS || ran.size() >= maxBackends()
            ? List.of()
            : state.regions(nowNanos, route, service, holders);
    return BackendSelector.choose(nowNanos, route, size, remainingMillis, here, regions);
  }

  /** Chooses the place of an attempt that is to be made, and takes a repeat for it. */
  BackendDecision take(long nowNanos, long remainingMillis) {
    return withRepeat(nowNanos, choose(nowNanos, remainingMillis));
  }

  /** Takes a repeat for an attempt; returns a refusal if none is left. */
  BackendDecision withRepeat(long nowNanos, BackendDecision choice) {
    boolean free = attempts == 0 || choice instanceof BackendDecision.Refuse;
    if (free || state.repeats(service).tryTake(nowNanos, state.extraRepeats())) {
      return choice;
    }
    return new BackendDecision.Refuse("no-repeat", RETRY_UNKNOWN_MILLIS);
  }

  /** Returns how many backend servers may run the request; a forwarded one counts as one. */
  private int maxBackends() {
    return forwarded ? 1 : route.maxBackends();
  }

  private boolean mayUse(EngineId backend) {
    return !excluded.contains(backend) && (ran.contains(backend) || ran.size() < maxBackends());
  }

  /** Returns whether the request may run at one more than now that an attempt is under way. */
  boolean mayRunAtOneMore() {
    return ran.size() + 1 < maxBackends();
  }

  /** Counts an attempt. */
  void attempted() {
    attempts++;
  }

  /** Counts an attempt at another region. */
  void forwarded() {
    forwards++;
  }

  /** Returns whether anything was tried. */
  boolean wasAttempted() {
    return attempts > 0;
  }

  /** Counts a backend server that may have run the request. */
  void ranAt(EngineId backend) {
    ran.add(backend);
  }

  /** Keeps the request from a backend server. */
  void exclude(EngineId backend) {
    excluded.add(backend);
  }

  /** Lets the request return to a backend server. */
  void admit(EngineId backend) {
    excluded.remove(backend);
  }
}
