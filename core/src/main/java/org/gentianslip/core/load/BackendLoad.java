package org.gentianslip.core.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.route.EngineProfile;

/**
 * Holds what this instance knows of the load and the health of one backend server.
 *
 * <p>Own requests count at once; those of other instances count as they were heard, until the news
 * is too old. Safe for use by several threads: its lock guards all state.
 */
public final class BackendLoad {

  /** The tokens that an engine reads in a millisecond; a cautious figure of today's engines. */
  static final double TOKENS_PER_MILLI = 50;

  /** The first and the longest time without new work after a failed connection. */
  private static final long FIRST_BLOCK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final long LONGEST_BLOCK_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  /** How long a backend server that refused as full gets no new work. */
  private static final long FULL_BLOCK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** The part of an engine's memory that is taken to hold cached prompts. */
  private static final double CACHE_SHARE = 0.8;

  /** The weight of a new observation in a mean. */
  private static final double GAIN = 0.1;

  /** The service time that is assumed before the first answer, in milliseconds. */
  private static final double FIRST_SERVICE_MILLIS = 30;

  /** The least expected time that is compared with the actual one, in milliseconds. */
  private static final double LEAST_COMPARED_MILLIS = 150;

  /** The bounds of the ratio between an actual and an expected wait. */
  private static final double LEAST_PACE = 0.3;

  private static final double GREATEST_PACE = 2;

  private final int slots;
  private final boolean engine;
  private final PromptCache cache;
  private final PeerLoads peers = new PeerLoads();
  private final Deque<Long> coldSends = new ArrayDeque<>();
  private int running;
  private double urgentMillis;
  private double otherMillis;
  private double failureShare;
  private double pace = 1;
  private double serviceMillis = FIRST_SERVICE_MILLIS;
  private int unreachableInRow;
  private long blockedUntilNanos = Long.MIN_VALUE;
  private long coldUntilNanos = Long.MIN_VALUE;
  private boolean coldOnReturn;

  /**
   * Creates the load of an idle backend server.
   *
   * @param slots the requests that it runs at once
   * @param engine what is special to a model engine, or null for a plain service
   */
  public BackendLoad(int slots, EngineProfile engine) {
    this.slots = Math.max(1, slots);
    this.engine = engine != null;
    this.cache = new PromptCache(engine == null ? 0 : (long) (CACHE_SHARE * engine.cacheTokens()));
  }

  /**
   * Returns this load, or a new one of the same backend server if its service is of another kind
   * than was known.
   *
   * @param engineNow what is special to a model engine, or null for a plain service
   */
  public synchronized BackendLoad withProfile(EngineProfile engineNow) {
    if (engine == (engineNow != null)) {
      return this;
    }
    var load = new BackendLoad(slots, engineNow);
    load.coldUntilNanos = coldUntilNanos;
    load.coldOnReturn = coldOnReturn;
    return load;
  }

  /** Counts a request that is about to be sent. */
  public synchronized Reservation reserve(
      long nowNanos, boolean urgent, RequestSize size, BackendEstimate estimate) {
    double reading = estimate.prefillMillis();
    cache.note(size.prompt());
    running++;
    if (urgent) {
      urgentMillis += reading;
    } else {
      otherMillis += reading;
    }
    if (isCold(nowNanos) || coldOnReturn) {
      coldSends.addLast(nowNanos);
    }
    return new Reservation(this, urgent, estimate, nowNanos);
  }

  synchronized void read(boolean urgent, double millis) {
    if (urgent) {
      urgentMillis = Math.max(0, urgentMillis - millis);
    } else {
      otherMillis = Math.max(0, otherMillis - millis);
    }
  }

  /** Learns from an expected and an actual time to the first event. */
  synchronized void compare(double expectedMillis, double actualMillis) {
    if (expectedMillis < LEAST_COMPARED_MILLIS) {
      return;
    }
    double ratio = Math.max(LEAST_PACE, Math.min(GREATEST_PACE, actualMillis / expectedMillis));
    pace += GAIN * (ratio - pace);
  }

  synchronized void left() {
    running--;
  }

  synchronized void succeeded(double millis) {
    failureShare *= 1 - GAIN;
    serviceMillis += GAIN * (Math.min(millis, 10 * serviceMillis) - serviceMillis);
    unreachableInRow = 0;
  }

  synchronized void erred() {
    unreachableInRow = 0;
    failureShare += GAIN / 2 * (1 - failureShare);
  }

  synchronized void failed(long nowNanos) {
    failureShare += 2 * GAIN * (1 - failureShare);
  }

  synchronized void unreachable(long nowNanos) {
    long block = FIRST_BLOCK_NANOS << Math.min(unreachableInRow, 3);
    unreachableInRow++;
    blockedUntilNanos = nowNanos + Math.min(block, LONGEST_BLOCK_NANOS);
    coldOnReturn = true;
    cache.clear();
  }

  synchronized void refusedAsFull(long nowNanos) {
    blockedUntilNanos = Math.max(blockedUntilNanos, nowNanos + FULL_BLOCK_NANOS);
  }

  /** Takes that the backend server is cold until a time. */
  public synchronized void markColdUntil(long untilNanos) {
    coldUntilNanos = Math.max(coldUntilNanos, untilNanos);
  }

  /** Returns whether it answered after it could not be reached, and forgets that. */
  public synchronized boolean pollRecovered() {
    boolean returned = coldOnReturn && unreachableInRow == 0;
    coldOnReturn = coldOnReturn && !returned;
    return returned;
  }

  private boolean isCold(long nowNanos) {
    return coldUntilNanos != Long.MIN_VALUE && nowNanos - coldUntilNanos < 0;
  }

  /**
   * Returns whether a request may be sent now.
   *
   * @param coldPerSecond the requests that this instance may send to it in a second while it is
   *     cold
   */
  public synchronized boolean acceptsWork(long nowNanos, double coldPerSecond) {
    if (blockedUntilNanos != Long.MIN_VALUE && nowNanos - blockedUntilNanos < 0) {
      return false;
    }
    boolean unproved = isCold(nowNanos) || coldOnReturn;
    if (!unproved || coldPerSecond <= 0) {
      return true;
    }
    long second = TimeUnit.SECONDS.toNanos(1);
    while (!coldSends.isEmpty() && nowNanos - coldSends.peekFirst() >= second) {
      coldSends.removeFirst();
    }
    return coldSends.size() < Math.max(1, Math.floor(coldPerSecond));
  }

  /** Takes that the engine has read a part of a prompt for another instance. */
  public synchronized void recordPrefill(PromptPart part) {
    if (engine) {
      cache.note(List.of(part));
    }
  }

  /** Takes another instance's load on this backend server. */
  public synchronized void recordPeerLoad(InstanceId peer, PeerLoad load) {
    peers.heard(peer, load);
  }

  /** Returns the load of this instance alone, to be told to others. */
  public synchronized PeerLoad localLoad(long nowNanos) {
    return new PeerLoad(running, urgentMillis, otherMillis, nowNanos);
  }

  /**
   * Returns the estimate for one more request.
   *
   * @param urgent whether it goes before other requests
   * @param size its size
   * @param fetch from where the shared part of its prompt may be copied
   */
  public synchronized BackendEstimate estimate(
      long nowNanos, boolean urgent, RequestSize size, Optional<PromptFetch> fetch) {
    peers.dropOld(nowNanos);
    int all = running + peers.running();
    double urgentBefore = urgentMillis + peers.urgentMillis();
    double otherBefore = otherMillis + peers.otherMillis();
    double before = urgentBefore + (urgent ? 0 : otherBefore);
    double after = urgent ? otherBefore : 0;
    long missing = engine ? cache.missingTokens(size.prompt()) : 0;
    double wait = engine ? before + after / 2 : 0;
    double slotWait = Math.max(0, all + 1 - slots) * serviceMillis / slots;
    long shared = Math.max(0, missing - (size.promptTokens() - size.sharedTokens()));
    long fetched = fetch.isPresent() && shared >= PromptDirectory.LEAST_TOKENS ? shared : 0;
    double reading = (missing - fetched) / TOKENS_PER_MILLI;
    double copying = fetch.map(f -> fetched * f.millisPerToken()).orElse(0.0);
    double work = engine ? reading + copying : serviceMillis;
    return new BackendEstimate(
        pace * wait + slotWait, work, shared - fetched, fetched, reading, all, slots, failureShare);
  }
}
