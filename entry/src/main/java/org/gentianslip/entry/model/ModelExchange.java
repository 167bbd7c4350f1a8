package org.gentianslip.entry.model;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.routing.RoutingRequest;
import org.gentianslip.entry.caller.RequestSettings;
import org.gentianslip.entry.http.ResponseSink;
import org.gentianslip.entry.relay.UpstreamTimeouts;

/**
 * The state of one model request from its admission to its end.
 *
 * <p>One thread at a time works on it; the queue and the HTTP library hand it over between threads.
 * Only {@link #finishOnce()} may be called by several threads at once.
 */
final class ModelExchange {

  private static final int MAX_REGIONS = 2;

  private final RequestId id;
  private final RequestSettings settings;
  private final Forwarding forwarding;
  private final String path;
  private final byte[] body;
  private final boolean stream;
  private final ResponseSink sink;
  private final long endNanos;
  private final AtomicBoolean finished = new AtomicBoolean();
  private final Set<RegionId> regionsTried = new TreeSet<>();
  private volatile RoutingRequest route;
  private int attempts;
  private boolean startedUpstream;

  /**
   * Creates an exchange.
   *
   * @param id the id by which callers and operators know the request
   * @param route the properties of the request that the routing policy may use; its id is unique in
   *     this instance
   * @param forwarding sends the request to other regions
   * @param endNanos the deadline of the request, in nanoseconds of the monotonic clock
   */
  ModelExchange(
      RequestId id,
      RoutingRequest route,
      RequestSettings settings,
      Forwarding forwarding,
      String path,
      byte[] body,
      boolean stream,
      ResponseSink sink,
      long endNanos) {
    this.id = id;
    this.route = route;
    this.settings = settings;
    this.forwarding = forwarding;
    this.path = path;
    this.body = body;
    this.stream = stream;
    this.sink = sink;
    this.endNanos = endNanos;
  }

  RequestId id() {
    return id;
  }

  RoutingRequest route() {
    return route;
  }

  RequestSettings settings() {
    return settings;
  }

  Forwarding forwarding() {
    return forwarding;
  }

  String path() {
    return path;
  }

  byte[] body() {
    return body;
  }

  ResponseSink sink() {
    return sink;
  }

  /** Returns the time until the deadline of the request. */
  Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, endNanos - nowNanos));
  }

  /** Returns the time limits of an attempt that starts now. */
  UpstreamTimeouts timeouts(long nowNanos) {
    Duration remaining = remaining(nowNanos);
    return stream ? settings.timeouts(remaining) : settings.wholeAnswerTimeouts(remaining);
  }

  /**
   * Sets a new deadline for the first token before another attempt; it is never later than the
   * deadline of the request.
   */
  void renewRoute(long nowNanos) {
    long limit = nowNanos + settings.firstTokenLimit().toNanos();
    route = route.withDeadline(limit - endNanos < 0 ? limit : endNanos);
  }

  /** Counts an attempt at a backend server or a peer. */
  void nextAttempt() {
    attempts++;
  }

  int attempts() {
    return attempts;
  }

  /** Records that the request is sent to a region; it is sent to each region at most once. */
  void tryRegion(RegionId region) {
    regionsTried.add(region);
  }

  /** Returns the regions that the request must not be sent to any more. */
  Set<RegionId> closedRegions() {
    return regionsTried.size() < MAX_REGIONS ? regionsTried : route.allowedRegions();
  }

  /** Records that a backend server may have started the request. */
  void markStartedUpstream() {
    startedUpstream = true;
  }

  boolean startedUpstream() {
    return startedUpstream;
  }

  /** Returns true to exactly one caller, which must then end the request. */
  boolean finishOnce() {
    return finished.compareAndSet(false, true);
  }
}
