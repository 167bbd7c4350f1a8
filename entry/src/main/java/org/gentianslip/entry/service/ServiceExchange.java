package org.gentianslip.entry.service;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.OutcomeName;
import org.gentianslip.entry.http.ResponseSink;
import org.gentianslip.entry.relay.UpstreamTimeouts;

/**
 * The state of one service call from its admission to its end.
 *
 * <p>One thread at a time works on it. It ends exactly once.
 */
final class ServiceExchange {

  private final ServiceCall call;
  private final ResponseSink sink;
  private final long arrivedNanos;
  private final ServiceCallReporter reporter;
  private final Set<String> triedBackends = new HashSet<>();
  private int attempts;
  private boolean ended;

  ServiceExchange(
      ServiceCall call, ResponseSink sink, long arrivedNanos, ServiceCallReporter reporter) {
    this.call = call;
    this.sink = sink;
    this.arrivedNanos = arrivedNanos;
    this.reporter = reporter;
  }

  ServiceCall call() {
    return call;
  }

  void beginAttempt(String backend) {
    attempts++;
    triedBackends.add(backend);
  }

  boolean wasTried(String backend) {
    return triedBackends.contains(backend);
  }

  int attempts() {
    return attempts;
  }

  Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, call.deadlineNanos() - nowNanos));
  }

  UpstreamTimeouts timeouts(long nowNanos) {
    return call.settings().wholeResponseTimeouts(remaining(nowNanos));
  }

  void step(long nowNanos, String step, String target, String reason) {
    reporter.step(nowNanos - arrivedNanos, call, step, target, reason);
  }

  void fail(ErrorReply reply) {
    if (ended) {
      throw new IllegalStateException("The call " + call.id() + " has ended already");
    }
    ended = true;
    reporter.failed(call, reply);
    boolean notStarted = call.forwarded() && reply.outcome() == OutcomeName.NOT_RUN;
    sink.fail(notStarted ? reply.withHeader(HeaderNames.NOT_STARTED, "true") : reply);
  }

  void send(int status, Map<String, String> headers, byte[] body) {
    if (ended) {
      throw new IllegalStateException("The call " + call.id() + " has ended already");
    }
    ended = true;
    reporter.ended(call, headers.getOrDefault(HeaderNames.OUTCOME, "unknown"));
    sink.send(status, headers, body);
  }
}
