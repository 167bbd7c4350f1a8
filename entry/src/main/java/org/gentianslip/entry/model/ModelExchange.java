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
 * <p>One thread at a time works on it; the queue and the HTTP library pass it from one thread to
 * another. Only {@link #finishOnce()} may be called by several threads at once.
 */
final class ModelExchange {

  private static final int MAX_TRIED_REGIONS = 2;

  private final RequestId id;
  private final RequestSettings settings;
  private final Forwarder forwarder;
  private final String path;
  private final byte[] body;
  private final boolean stream;
  private final ResponseSink sink;
  private final long deadlineNanos;
  private final AtomicBoolean finished = new AtomicBoolean();
  private final Set<RegionId> triedRegions = new TreeSet<>();
  private volatile RoutingRequest routingRequest;
  private int attempts;
  private boolean startedUpstream;

  /**
   * Creates an exchange.
   *
   * @param id the id by which callers and operators know the request
   * @param routingRequest the properties of the request that the routing policy may use; its id is
   *     unique in this instance
   * @param forwarder sends the request to other regions
   * @param deadlineNanos the deadline of the request, in nanoseconds of the monotonic clock
   */
  ModelExchange(
      RequestId id,
      RoutingRequest routingRequest,
      RequestSettings settings,
      Forwarder forwarder,
      String path,
      byte[] body,
      boolean stream,
      ResponseSink sink,
      long deadlineNanos) {
    this.id = id;
    this.routingRequest = routingRequest;
    this.settings = settings;
    this.forwarder = forwarder;
    this.path = path;
    this.body = body;
    this.stream = stream;
    this.sink = sink;
    this.deadlineNanos = deadlineNanos;
  }

  RequestId id() {
    return id;
  }

  RoutingRequest routingRequest() {
    return routingRequest;
  }

  RequestSettings settings() {
    return settings;
  }

  Forwarder forwarder() {
    return forwarder;
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
    return Duration.ofNanos(Math.max(0, deadlineNanos - nowNanos));
  }

  /** Returns the time limits of an attempt that starts now. */
  UpstreamTimeouts timeouts(long nowNanos) {
    Duration remaining = remaining(nowNanos);
    return stream ? settings.streamTimeouts(remaining) : settings.wholeResponseTimeouts(remaining);
  }

  /**
   * Sets a new deadline for the first token before another attempt. It is never later than the
   * deadline of the request.
   */
  void renewFirstTokenDeadline(long nowNanos) {
    long firstTokenDeadlineNanos = nowNanos + settings.firstTokenLimit().toNanos();
    routingRequest =
        routingRequest.withDeadline(
            firstTokenDeadlineNanos - deadlineNanos < 0 ? firstTokenDeadlineNanos : deadlineNanos);
  }

  /** Counts an attempt at a backend server or a peer. */
  void countAttempt() {
    attempts++;
  }

  int attempts() {
    return attempts;
  }

  /** Records that the request is sent to a region; it is sent to each region at most once. */
  void addTriedRegion(RegionId region) {
    triedRegions.add(region);
  }

  /**
   * Returns the regions that the request must not be sent to any more: those tried before or, after
   * {@value #MAX_TRIED_REGIONS} of them, all allowed regions.
   */
  Set<RegionId> excludedRegions() {
    return triedRegions.size() < MAX_TRIED_REGIONS ? triedRegions : routingRequest.allowedRegions();
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
