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
 * Holds one model request from its admission to its end.
 *
 * <p>One thread at a time works on it; the hand-over between threads goes through the queue and the
 * client library. Only {@link #finishOnce()} may be called by several threads at once.
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
   * @param route what the policy may know; its id is unique in this instance
   * @param forwarding how the request may leave the region
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

  /** Returns how long the request may still take. */
  Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, endNanos - nowNanos));
  }

  /** Returns the bounds of an attempt that starts now. */
  UpstreamTimeouts timeouts(long nowNanos) {
    Duration remaining = remaining(nowNanos);
    return stream ? settings.timeouts(remaining) : settings.wholeAnswerTimeouts(remaining);
  }

  /** Gives the request a new time to wait for its first token, before another attempt. */
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
