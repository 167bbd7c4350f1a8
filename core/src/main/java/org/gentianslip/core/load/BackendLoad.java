package org.gentianslip.core.load;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleToLongFunction;
import java.util.function.IntUnaryOperator;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.limit.HeardLimit;
import org.gentianslip.core.limit.RefusalLimit;
import org.gentianslip.core.limit.ServerPace;
import org.gentianslip.core.limit.StatedLimit;
import org.gentianslip.core.route.EngineProfile;

/**
 * The load and the health of one start of a backend server, as far as this instance knows them.
 *
 * <p>What is learnt of one start says nothing about the next one, also if that has the same id.
 *
 * <p>Requests of this instance count as soon as they are sent. Requests of other instances count as
 * last reported, until the report is too old. Thread-safe: the object's lock guards all state.
 */
public final class BackendLoad {

  /**
   * The prompt tokens that an engine prefills in a millisecond; a conservative figure for current
   * engines.
   */
  static final double PREFILL_TOKENS_PER_MILLI = 50;

  /** The share of an engine's memory that is assumed to hold cached prompts. */
  private static final double CACHE_SHARE = 0.8;

  /** The weight of a new observation in an exponentially weighted mean. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** The service time that is assumed until the first answer, in milliseconds. */
  private static final double INITIAL_SERVICE_MILLIS = 30;

  /** The weight of a new observation if the earlier ones are outdated. */
  private static final double OUTDATED_SMOOTHING_FACTOR = 0.5;

  /**
   * The time after which the mean service time is outdated if nothing was sent, so that one request
   * may find out whether the backend server is still as slow.
   */
  private static final long OUTDATED_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The instances up to which each may find that out after {@link #OUTDATED_NANOS}. */
  private static final int MAX_INSTANCES_AT_ONCE = 16;

  /** The minimum expected time that is compared with the actual time, in milliseconds. */
  private static final double MIN_COMPARED_MILLIS = 150;

  /** The lower bound of the ratio of an actual to an expected time. */
  private static final double MIN_WAIT_RATIO = 0.3;

  /** The upper bound of the ratio of an actual to an expected time. */
  private static final double MAX_WAIT_RATIO = 2;

  private final int slots;
  private final boolean isEngine;
  private final PromptCache cache;
  private final PeerLoads peers = new PeerLoads();
  private final Availability availability;
  private final ServerPace pace;
  private final RefusalLimit refusals;
  private int running;

  /** The requests that this instance had at the backend server when its pace became limited. */
  private int runningAtReturn;

  private boolean pacing;

  /** The requests of this instance of whose answers no part has arrived. */
  private int unanswered;

  private double urgentPrefillMillis;
  private double otherPrefillMillis;
  private double failureShare;
  private double waitRatio = 1;
  private final HeardLimit limit = new HeardLimit();
  private long lastSentNanos = Long.MIN_VALUE;
  private double serviceMillis = INITIAL_SERVICE_MILLIS;
  private int instances = 1;

  /**
   * Creates the load of an idle backend server.
   *
   * @param slots the number of requests that it runs at once
   * @param engine the properties of its model engine, or null for a plain service
   */
  public BackendLoad(int slots, EngineProfile engine) {
    this(slots, engine, new Availability(), new ServerPace(), new RefusalLimit());
  }

  private BackendLoad(
      int slots,
      EngineProfile engine,
      Availability availability,
      ServerPace pace,
      RefusalLimit refusals) {
    this.availability = availability;
    this.pace = pace;
    this.refusals = refusals;
    this.slots = Math.max(1, slots);
    this.isEngine = engine != null;
    this.cache = new PromptCache(engine == null ? 0 : (long) (CACHE_SHARE * engine.cacheTokens()));
  }

  /**
   * Returns this load, or a new load of the same backend server if its service has become a model
   * engine or a plain service since this load was created.
   *
   * @param engineNow the properties of its model engine, or null for a plain service
   */
  public synchronized BackendLoad withProfile(EngineProfile engineNow) {
    if (isEngine == (engineNow != null)) {
      return this;
    }
    return new BackendLoad(slots, engineNow, availability, pace, refusals);
  }

  /**
   * Returns the load of the next start of the backend server, to which only the requests that this
   * instance sent last may belong.
   *
   * @param newSlots the number of requests that it runs at once
   * @param engineNow the properties of its model engine, or null for a plain service
   */
  public synchronized BackendLoad ofNextStart(int newSlots, EngineProfile engineNow) {
    return new BackendLoad(
        newSlots, engineNow, availability.ofNextStart(), new ServerPace(), new RefusalLimit());
  }

  /** Counts a request that is about to be sent, and returns the reservation that tracks it. */
  public synchronized Reservation reserve(
      long nowNanos, boolean urgent, RequestSize size, BackendEstimate estimate) {
    final double prefillMillis = estimate.prefillMillis();
    final boolean outdated = isOutdated(nowNanos);
    cache.record(size.prompt());
    pace.recordSend(nowNanos, unanswered, estimate.totalMillis());
    final RefusalLimit.Send send = refusals.recordSend(nowNanos, occupancy());
    running++;
    unanswered++;
    if (urgent) {
      urgentPrefillMillis += prefillMillis;
    } else {
      otherPrefillMillis += prefillMillis;
    }
    availability.recordSend(nowNanos);
    lastSentNanos = nowNanos;
    return new Reservation(this, urgent, estimate, nowNanos, outdated, send);
  }

  /** Removes prefill time that is no longer outstanding. */
  synchronized void prefillEnded(boolean urgent, double millis) {
    if (urgent) {
      urgentPrefillMillis = Math.max(0, urgentPrefillMillis - millis);
    } else {
      otherPrefillMillis = Math.max(0, otherPrefillMillis - millis);
    }
  }

  /**
   * Adjusts the expected waits by the ratio of an actual to an expected time to the first event.
   */
  synchronized void updateWaitRatio(double expectedMillis, double actualMillis) {
    if (expectedMillis < MIN_COMPARED_MILLIS) {
      return;
    }
    double ratio =
        Math.max(MIN_WAIT_RATIO, Math.min(MAX_WAIT_RATIO, actualMillis / expectedMillis));
    waitRatio += SMOOTHING_FACTOR * (ratio - waitRatio);
  }

  /** Records the time to the first part of an answer, which tells the pace of a server. */
  synchronized void recordFirstPart(long nowNanos, double expectedMillis, double actualMillis) {
    unanswered--;
    pace.recordAnswer(nowNanos, slots, expectedMillis, actualMillis);
  }

  /** Records that a request has ended without any part of an answer. */
  synchronized void recordNoFirstPart() {
    unanswered--;
  }

  synchronized void requestEnded() {
    running--;
    runningAtReturn = Math.min(runningAtReturn, running);
  }

  synchronized void recordSuccess(boolean sentOutdated, double millis) {
    failureShare *= 1 - SMOOTHING_FACTOR;
    double weight = sentOutdated ? OUTDATED_SMOOTHING_FACTOR : SMOOTHING_FACTOR;
    serviceMillis += weight * (Math.min(millis, 10 * serviceMillis) - serviceMillis);
    availability.recordAnswer();
  }

  /** Sets how many instances of the region may send to the backend server. */
  public synchronized void setInstances(int count) {
    instances = Math.max(1, count);
  }

  /**
   * Returns whether the mean service time of a plain service is outdated. It changes with answers
   * only, so a mean that keeps all requests away would otherwise never change again. The time that
   * a request waits for others is not affected, since those will be answered.
   */
  private boolean isOutdated(long nowNanos) {
    double share = Math.max(1, (double) instances / MAX_INSTANCES_AT_ONCE);
    return !isEngine
        && running == 0
        && lastSentNanos != Long.MIN_VALUE
        && nowNanos - lastSentNanos >= share * OUTDATED_NANOS;
  }

  private double expectedServiceMillis(long nowNanos) {
    return isOutdated(nowNanos) ? Math.min(serviceMillis, INITIAL_SERVICE_MILLIS) : serviceMillis;
  }

  synchronized void recordErrorAnswer() {
    availability.recordAnswer();
    failureShare += SMOOTHING_FACTOR / 2 * (1 - failureShare);
  }

  synchronized void recordFailure(long nowNanos) {
    pace.recordSetback(nowNanos, slots);
    failureShare += 2 * SMOOTHING_FACTOR * (1 - failureShare);
  }

  /**
   * Blocks new work for a time that doubles with each failed connection in a row.
   *
   * @param begunNanos when the connection was begun
   */
  synchronized void recordUnreachable(long nowNanos, long begunNanos) {
    availability.recordUnreachable(nowNanos, begunNanos);
    cache.clear();
  }

  /**
   * Records that an exchange broke or fell silent, so that the backend server may have started
   * again. It gets work at the rate of a cold one until it has answered.
   *
   * @param heardNanos when it was last heard in that exchange, or when the request was sent
   * @return whether nothing had pointed to a restart before
   */
  public synchronized boolean suspectRestart(long nowNanos, long heardNanos) {
    return availability.restart().raise(nowNanos, heardNanos);
  }

  /**
   * Records a part of an answer.
   *
   * @param connectedNanos when the connection on which it arrived was established
   * @return whether it refutes that the backend server has started again, which was possible
   */
  public synchronized boolean recordContact(long nowNanos, long connectedNanos) {
    return availability.restart().recordContact(nowNanos, connectedNanos);
  }

  /**
   * Returns when a connection of any instance last failed, as far as it is known, while the backend
   * server may have started again.
   */
  public synchronized OptionalLong failedNanos() {
    return availability.restart().failedNanos();
  }

  /**
   * Records that a connection of another instance failed, so that the backend server may have
   * started again, unless a later answer tells.
   *
   * @param failedNanos when it failed
   * @return whether nothing had pointed to a restart before
   */
  public synchronized boolean recordFailureOfOthers(long nowNanos, long failedNanos) {
    return availability.restart().recordFailureOfOthers(nowNanos, failedNanos);
  }

  /**
   * Limits work to the rate of a cold server until the backend server has confirmed that it is
   * still the start that is known, or until the given time, by which its entry shows a later one.
   */
  public synchronized void expectConfirmation(long untilNanos) {
    availability.expectConfirmation(untilNanos);
  }

  /** Records that the backend server has said when it started, which settles all suspicions. */
  public synchronized void confirmStart(long nowNanos) {
    availability.confirmStart(nowNanos);
  }

  synchronized void recordFullRefusal(long nowNanos, RefusalLimit.Send send) {
    pace.recordSetback(nowNanos, slots);
    availability.recordFullRefusal(nowNanos);
    refusals.recordRefusal(nowNanos, send, running);
  }

  /**
   * Marks the backend server as cold until the given time, unless it is already marked for longer.
   */
  public synchronized void markColdUntil(long untilNanos) {
    availability.markColdUntil(untilNanos);
    beginPace(untilNanos);
  }

  /** Begins the pace of an engine; a plain service has no caches and too few slots to share. */
  private void beginPace(long returnNanos) {
    if (isEngine) {
      pace.begin(returnNanos);
    }
  }

  /** Returns how warm the backend server is believed to be. */
  public synchronized Warmth warmth(long nowNanos) {
    return availability.warmth(nowNanos);
  }

  /**
   * Records that the backend server wants no work until the given time. It gets work again in
   * steps.
   */
  public synchronized void pauseUntil(long untilNanos) {
    availability.pauseUntil(untilNanos);
  }

  /** Returns how long the backend server still wants no work, in nanoseconds. */
  public synchronized long pauseNanos(long nowNanos) {
    return availability.pauseNanos(nowNanos);
  }

  /**
   * Returns how long the backend server gets no work after a refusal, a failed connection or a
   * pause that it asked for, in nanoseconds.
   */
  synchronized long blockedNanos(long nowNanos) {
    return availability.blockedNanos(nowNanos);
  }

  /**
   * Records what the backend server has said about the requests that it takes, unless something
   * newer is known.
   *
   * @return whether the limit has changed
   */
  public synchronized boolean applyLimit(StatedLimit next) {
    return limit.apply(next);
  }

  /**
   * Records an answer that names no limit, which ends a limit that was known when the request was
   * sent.
   *
   * @param sentNanos when the request was sent
   * @return whether the limit has changed
   */
  public synchronized boolean endLimit(long sentNanos, long nowNanos) {
    return limit.end(sentNanos, nowNanos);
  }

  /**
   * Records what the backend server has said about the refusals for want of room that it bears,
   * unless something newer is known.
   *
   * @return whether that number has changed
   */
  public synchronized boolean applyRefusalLimit(StatedLimit next) {
    return refusals.stated().apply(next);
  }

  /**
   * Records an answer that names no limit of refusals, as {@link #endLimit} does.
   *
   * @return whether the limit has changed
   */
  public synchronized boolean endRefusalLimit(long sentNanos, long nowNanos) {
    return refusals.stated().end(sentNanos, nowNanos);
  }

  /**
   * Returns whether the backend server has answered again after it could not be reached, and resets
   * this state, so that each recovery is reported once.
   */
  public synchronized boolean pollRecovered() {
    return availability.pollRecovered();
  }

  /**
   * Returns whether the backend server may be sent a request now.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param coldShare what this instance may send to it while it is cold
   */
  public synchronized boolean acceptsWork(long nowNanos, ColdShare coldShare) {
    return availability.acceptsWork(nowNanos, slots, coldShare);
  }

  /**
   * Returns whether a request would keep to the limit that the backend server has named, if any.
   *
   * @param intervalNanos returns the time between two requests of this instance for a limit per
   *     second of all instances, in nanoseconds
   */
  public synchronized boolean isWithinLimit(long nowNanos, DoubleToLongFunction intervalNanos) {
    if (!limit.isLimited()) {
      return true;
    }
    long interval = intervalNanos.applyAsLong(limit.newest().orElseThrow().perSecond());
    boolean neverSent = lastSentNanos == Long.MIN_VALUE;
    return interval != Long.MAX_VALUE && (neverSent || nowNanos - lastSentNanos >= interval);
  }

  /**
   * Returns whether a request would keep to the refusals that the backend server bears, if it has
   * said so.
   *
   * @param id the id of the backend server
   */
  public synchronized boolean isWithinRefusalLimit(long nowNanos, EngineId id, SendRates rates) {
    if (!refusals.stated().isLimited()) {
      return true;
    }
    peers.dropExpired(nowNanos);
    double perSecond = refusals.stated().newest().orElseThrow().perSecond();
    return refusals.accepts(
        nowNanos, occupancy(), rates.places(id, slots), rates.refusals(id, perSecond));
  }

  private RefusalLimit.Occupancy occupancy() {
    return new RefusalLimit.Occupancy(slots, running, running + peers.running());
  }

  /**
   * Returns whether a request would keep to the pace of a backend server that starts or recovers.
   *
   * @param portion returns this instance's portion of the requests of all instances together
   */
  public synchronized boolean isWithinPace(long nowNanos, IntUnaryOperator portion) {
    boolean limited = pace.isLimited(nowNanos, slots);
    if (limited && !pacing) {
      runningAtReturn = running;
    }
    pacing = limited;
    return !limited
        || running < runningAtReturn + portion.applyAsInt(pace.total(nowNanos, slots, unanswered));
  }

  /** Returns what the backend server has said about the requests that it takes, if anything. */
  public synchronized Optional<StatedLimit> limit() {
    return limit.newest();
  }

  /** Returns what the backend server has said about the refusals that it bears, if anything. */
  public synchronized Optional<StatedLimit> refusalLimit() {
    return refusals.stated().newest();
  }

  /** Records that the engine has prefilled a part of a prompt for another instance. */
  public synchronized void recordPrefill(PromptPart part) {
    if (isEngine) {
      cache.record(List.of(part));
    }
  }

  /** Records the load that other instances put on this backend server. */
  public synchronized void recordPeerLoad(LoadSource source, PeerLoad load) {
    peers.record(source, load);
    if (load.running() > 0) {
      availability.recordReachedByOthers(load.receivedNanos()).ifPresent(this::beginPace);
    }
  }

  /** Records that a source which reports its loads puts none on this backend server. */
  public synchronized void clearPeerLoad(LoadSource source, long nowNanos) {
    if (peers.hasLoadOf(source)) {
      peers.record(source, PeerLoad.zero(nowNanos));
    }
  }

  /**
   * Returns the load that this instance and the other instances of its data centre put on the
   * backend server, as far as they reported it to this instance.
   */
  public synchronized PeerLoad dataCentreLoad(long nowNanos) {
    peers.dropExpired(nowNanos);
    return localLoad(nowNanos)
        .plus(peers.sumOf(nowNanos, s -> s.kind() == LoadSource.Kind.INSTANCE));
  }

  /**
   * Returns the load of the region as reported to this instance, without that of the receiver.
   *
   * <p>What a relay has told this instance about the region is left out, so that no load is passed
   * back to where it came from.
   */
  public synchronized PeerLoad regionLoadWithout(long nowNanos, LoadSource receiver) {
    peers.dropExpired(nowNanos);
    return localLoad(nowNanos)
        .plus(
            peers.sumOf(
                nowNanos, s -> s.kind() != LoadSource.Kind.REST_OF_REGION && !s.equals(receiver)));
  }

  /**
   * Returns the load that this instance alone puts on the backend server, to report it to peers.
   */
  public synchronized PeerLoad localLoad(long nowNanos) {
    return new PeerLoad(running, urgentPrefillMillis, otherPrefillMillis, nowNanos);
  }

  /**
   * Estimates the time and the work of one more request.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param urgent whether the request is served before requests that are not urgent
   * @param size the size of the request
   * @param fetch the engine from which the shared part of the prompt may be copied, if any
   */
  public synchronized BackendEstimate estimate(
      long nowNanos, boolean urgent, RequestSize size, Optional<PromptFetch> fetch) {
    peers.dropExpired(nowNanos);
    int totalRunning = running + peers.running();
    double urgentWaitMillis = urgentPrefillMillis + peers.urgentPrefillMillis();
    double otherWaitMillis = otherPrefillMillis + peers.otherPrefillMillis();
    double prefillAheadMillis = urgentWaitMillis + (urgent ? 0 : otherWaitMillis);
    double prefillBehindMillis = urgent ? otherWaitMillis : 0;
    long uncachedTokens = isEngine ? cache.uncachedTokens(size.prompt()) : 0;
    double prefillWaitMillis = isEngine ? prefillAheadMillis + prefillBehindMillis / 2 : 0;
    double slotWaitMillis = Math.max(0, totalRunning + 1 - slots) * serviceMillis / slots;
    long uncachedSharedTokens =
        Math.max(0, uncachedTokens - (size.promptTokens() - size.sharedTokens()));
    long copiedTokens =
        fetch.isPresent() && uncachedSharedTokens >= PromptDirectory.MIN_TOKENS
            ? uncachedSharedTokens
            : 0;
    double prefillMillis = (uncachedTokens - copiedTokens) / PREFILL_TOKENS_PER_MILLI;
    double copyMillis = fetch.map(f -> copiedTokens * f.millisPerToken()).orElse(0.0);
    double workMillis = isEngine ? prefillMillis + copyMillis : expectedServiceMillis(nowNanos);
    return new BackendEstimate(
        waitRatio * prefillWaitMillis + slotWaitMillis,
        workMillis,
        serviceMillis,
        uncachedSharedTokens - copiedTokens,
        copiedTokens,
        prefillMillis,
        totalRunning,
        slots,
        failureShare);
  }
}
