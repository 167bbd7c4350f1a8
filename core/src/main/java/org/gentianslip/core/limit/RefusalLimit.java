package org.gentianslip.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * How many requests this instance may have at a backend server that bears few refusals for want of
 * room in a second.
 *
 * <p>What the backend server lets wait is not relied on. An instance fills its own places, which
 * add up to the slots, while the known requests of all instances leave one free. If a place was not
 * free nevertheless, as callers that no instance knows hold it, the instance keeps to the places
 * that it has and tries one more at a time. Beyond its places it sends only as many requests in a
 * second as its share of the refusals allows, as each may be refused. Not thread-safe.
 */
public final class RefusalLimit {

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final HeardLimit stated = new HeardLimit();
  private final Deque<Long> refusals = new ArrayDeque<>();

  /** When requests were sent beyond the places of this instance. */
  private final Deque<Long> tries = new ArrayDeque<>();

  /** The places that were left at the refusal of a request to one of the others. */
  private int placesLeft = Integer.MAX_VALUE;

  private long placesLeftNanos;
  private int places;

  /** How a request was sent. */
  public enum Send {
    /** While no limit was known. */
    UNLIMITED,
    /** To a place of this instance. */
    TO_PLACE,
    /** Beyond the places of this instance. */
    BEYOND
  }

  /**
   * The requests at a backend server that have not ended. Immutable.
   *
   * @param slots the number of requests that it runs at once
   * @param own the requests of this instance
   * @param all the known requests of all instances, including {@code own}
   */
  public record Occupancy(int slots, int own, int all) {}

  /** Returns the refusals per second that the backend server has stated. */
  public HeardLimit stated() {
    return stated;
  }

  /**
   * Returns whether a request may be sent now.
   *
   * @param ownPlaces the slots of the backend server that belong to this instance
   * @param share this instance's share of the refusals
   */
  public boolean accepts(long nowNanos, Occupancy occupancy, int ownPlaces, RefusalShare share) {
    if (!stated.isLimited()) {
      return true;
    }
    dropOld(refusals, nowNanos);
    dropOld(tries, nowNanos);
    places = Math.min(ownPlaces, usablePlaces(nowNanos, share));
    if (hasRoom(occupancy)) {
      return refusals.size() < Math.max(1, share.perSecond());
    }
    return places == ownPlaces && refusals.size() + tries.size() < share.perSecond();
  }

  /** Returns the places that may be used after a refusal, one more with each interval. */
  private int usablePlaces(long nowNanos, RefusalShare share) {
    if (placesLeft == Integer.MAX_VALUE) {
      return placesLeft;
    }
    long regained = (nowNanos - placesLeftNanos) / Math.max(1, share.intervalNanos());
    return (int) Math.min(Integer.MAX_VALUE, placesLeft + regained);
  }

  private boolean hasRoom(Occupancy occupancy) {
    return occupancy.own() < places && occupancy.all() < occupancy.slots();
  }

  /** Records that a request is about to be sent, which the occupancy does not count yet. */
  public Send recordSend(long nowNanos, Occupancy occupancy) {
    if (!stated.isLimited()) {
      return Send.UNLIMITED;
    }
    if (hasRoom(occupancy)) {
      return Send.TO_PLACE;
    }
    tries.addLast(nowNanos);
    return Send.BEYOND;
  }

  /**
   * Records that the backend server refused a request as full. Requests that were sent before the
   * limit was known do not count.
   *
   * @param own the requests that this instance still has at the backend server
   */
  public void recordRefusal(long nowNanos, Send send, int own) {
    if (send == Send.UNLIMITED) {
      return;
    }
    refusals.addLast(nowNanos);
    if (send == Send.TO_PLACE) {
      placesLeft = own;
      placesLeftNanos = nowNanos;
    }
  }

  private static void dropOld(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() >= WINDOW_NANOS) {
      times.removeFirst();
    }
  }
}
