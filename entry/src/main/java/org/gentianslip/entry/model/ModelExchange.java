package org.gentianslip.entry.model;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.membership.RendezvousHash;
import org.gentianslip.core.routing.RouteRequest;
import org.gentianslip.entry.caller.RequestSettings;
import org.gentianslip.entry.http.ResponseSink;

/**
 * Holds one model request from its admission to its end.
 *
 * <p>One thread at a time works on it; the hand-over between threads goes through executors or the
 * queue. Only {@link #finishOnce()} may be called by several threads at once.
 */
final class ModelExchange {

  private static final int MAX_REGIONS = 2;

  private final RouteRequest route;
  private final RequestSettings settings;
  private final String path;
  private final byte[] body;
  private final boolean stream;
  private final ResponseSink sink;
  private final long endNanos;
  private final AtomicBoolean finished = new AtomicBoolean();
  private final Set<RegionId> regionsTried = new TreeSet<>();
  private int attempts;
  private boolean startedUpstream;

  ModelExchange(
      RouteRequest route,
      RequestSettings settings,
      String path,
      byte[] body,
      boolean stream,
      ResponseSink sink,
      long endNanos) {
    this.route = route;
    this.settings = settings;
    this.path = path;
    this.body = body;
    this.stream = stream;
    this.sink = sink;
    this.endNanos = endNanos;
  }

  RouteRequest route() {
    return route;
  }

  /** Returns an evenly spread hash of the request. */
  long requestHash() {
    return RendezvousHash.hash(route.id().value(), "request");
  }

  RequestSettings settings() {
    return settings;
  }

  String path() {
    return path;
  }

  byte[] body() {
    return body;
  }

  boolean stream() {
    return stream;
  }

  ResponseSink sink() {
    return sink;
  }

  /** Returns how long the request may still take. */
  Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, endNanos - nowNanos));
  }

  boolean expired(long nowNanos) {
    return endNanos - nowNanos <= 0;
  }

  /** Counts an attempt at a backend server or a peer and returns its number, from 1. */
  int nextAttempt() {
    attempts++;
    return attempts;
  }

  int attempts() {
    return attempts;
  }

  /** Notes that the request is sent to a region; it goes to each region at most once. */
  void tryRegion(RegionId region) {
    regionsTried.add(region);
  }

  /** Returns the regions that the request may not be sent to any more. */
  Set<RegionId> closedRegions() {
    return regionsTried.size() < MAX_REGIONS ? regionsTried : route.allowedRegions();
  }

  /** Notes that a backend server may have started the request. */
  void markStartedUpstream() {
    startedUpstream = true;
  }

  boolean startedUpstream() {
    return startedUpstream;
  }

  /** Returns true to exactly one caller, which then ends the request. */
  boolean finishOnce() {
    return finished.compareAndSet(false, true);
  }
}
