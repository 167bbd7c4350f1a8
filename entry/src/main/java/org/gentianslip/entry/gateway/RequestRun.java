package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.load.BackendDecision;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.load.RetryDelay;
import org.gentianslip.core.membership.PeerRecord;
import org.gentianslip.core.route.Route;

/**
 * Serves one request from its arrival to its final answer.
 *
 * <p>Every request ends exactly once: by the backend server's answer, by an answer of the gateway's
 * own, by a break of a streamed answer that had begun, or since its caller left. "Not run" is
 * answered only while no backend server may have run it. Used on one event loop only.
 */
final class RequestRun implements CallerEvents {

  /** The least time in which an attempt is worth to be made, in milliseconds. */
  private static final long LEAST_MILLIS = 15;

  /** The time to connect to a backend server of the region, in milliseconds. */
  private static final int CONNECT_MILLIS = 350;

  /** The time to connect to an instance of another region, in milliseconds. */
  private static final int AWAY_CONNECT_MILLIS = 800;

  private final Gateway gateway;
  private final IncomingRequest request;
  private final CallerSink sink;
  private final Route route;
  private final Placement placement;
  private final CallerAnswer answer;
  private final String id;
  private final long endNanos;
  private final RequestLog log;
  private AttemptBase current;
  private ScheduledFuture<?> endTimer;
  private boolean mayHaveRun;
  private boolean ended;

  RequestRun(
      Gateway gateway,
      IncomingRequest request,
      CallerSink sink,
      Route route,
      boolean forwarded,
      long remainingMillis) {
    this.gateway = gateway;
    this.request = request;
    this.sink = sink;
    this.answer = new CallerAnswer(sink);
    this.route = route;
    this.id = request.headers().get(gateway.edge().requestId(), "");
    this.log = new RequestLog(id, request, route, forwarded, gateway.account(id));
    this.placement =
        new Placement(
            gateway.state(),
            route,
            route.serviceFor(gateway.fractionOf(id)),
            gateway.edge().sizeOf(request.headers(), request.body().length),
            forwarded);
    this.endNanos = request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
  }

  void start() {
    sink.listen(this);
    long left = endNanos - System.nanoTime();
    endTimer = sink.loop().schedule(this::timeOut, left, TimeUnit.NANOSECONDS);
    placement.countRequest(System.nanoTime());
    next();
  }

  Gateway gateway() {
    return gateway;
  }

  IncomingRequest request() {
    return request;
  }

  CallerSink sink() {
    return sink;
  }

  Route route() {
    return route;
  }

  RequestSize size() {
    return placement.size();
  }

  String id() {
    return id;
  }

  long remainingMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos);
  }

  private void next() {
    if (ended) {
      return;
    }
    long now = System.nanoTime();
    long left = remainingMillis(now);
    if (left < LEAST_MILLIS) {
      giveUp("no-time", Placement.RETRY_UNKNOWN_MILLIS);
      return;
    }
    carryOut(now, placement.take(now, left));
  }

  private void carryOut(long now, BackendDecision choice) {
    if (choice instanceof BackendDecision.ToBackend to) {
      send(now, to);
    } else if (choice instanceof BackendDecision.ToRegion to) {
      forward(now, to);
    } else if (choice instanceof BackendDecision.Refuse no) {
      giveUp(no.reason(), no.excessMillis());
    }
  }

  private void send(long now, BackendDecision.ToBackend to) {
    var backend = to.option().backend();
    var attempt = new BackendAttempt(this, to);
    current = attempt;
    countAttempt("backend");
    log.sent(
        now,
        "backend",
        backend.id().value(),
        "wait="
            + Math.round(to.estimate().totalMillis())
            + " copy="
            + to.estimate().copiedTokens());
    attempt.start(now, CONNECT_MILLIS);
    watch(attempt, to.estimate().totalMillis());
  }

  private void forward(long now, BackendDecision.ToRegion to) {
    Optional<PeerRecord> peer = gateway.state().regionBook().instanceIn(now, to.region());
    if (peer.isEmpty()) {
      gateway.state().regionBook().pauseRegion(now, to.region());
      next();
      return;
    }
    placement.forwarded();
    var attempt = new ForwardAttempt(this, peer.get());
    current = attempt;
    countAttempt("instance");
    log.sent(now, "instance", peer.get().id().value(), "wait=" + Math.round(to.expectedMillis()));
    attempt.start(now, AWAY_CONNECT_MILLIS);
    watch(attempt, to.expectedMillis());
  }

  private void countAttempt(String to) {
    gateway.metrics().attempted(rank(), to, !placement.wasAttempted());
    placement.attempted();
  }

  private void watch(AttemptBase attempt, double expectedMillis) {
    if (route.repeatability().allowsSecondRun()) {
      SilenceWatch.start(attempt, SilenceBound.millis(route, expectedMillis));
    }
  }

  /** An attempt gave no sign for longer than it should. */
  void silent(AttemptBase attempt, long silentMillis) {
    long now = System.nanoTime();
    if (!sink.isWritable() || !placement.mayRunAtOneMore() || !answer.mayGoOnElsewhere()) {
      return;
    }
    placement.exclude(attempt.place());
    BackendDecision elsewhere = placement.take(now, remainingMillis(now));
    if (elsewhere instanceof BackendDecision.Refuse) {
      return;
    }
    attempt.noteSilence(now);
    attempt.cancel();
    noteRan(attempt);
    log.seen(now, "silent for " + silentMillis + " ms");
    carryOut(now, elsewhere);
  }

  /** An answer other than a success came; it proves that the request did not run there. */
  void attemptNotRun(AttemptBase attempt, String why) {
    if (!goesOnWith(attempt)) {
      return;
    }
    log.seen(System.nanoTime(), why);
    placement.exclude(attempt.place());
    next();
  }

  /** An attempt ended without an answer. */
  void attemptFailed(AttemptBase attempt, boolean written, String why) {
    if (!goesOnWith(attempt)) {
      return;
    }
    log.seen(System.nanoTime(), why);
    placement.exclude(attempt.place());
    if (written) {
      noteRan(attempt);
      if (!route.repeatability().allowsSecondRun()) {
        breakOff("unknown");
        return;
      }
      if (!answer.mayGoOnElsewhere()) {
        breakOff("no-event-id");
        return;
      }
    }
    next();
  }

  private void noteRan(AttemptBase attempt) {
    placement.ranAt(attempt.place());
    mayHaveRun = true;
  }

  /** Returns whether a failure that a backend server answered is better hidden by another run. */
  boolean retriesAfterError(int status) {
    return status >= 500
        && route.repeatability().allowsSecondRun()
        && !answer.begun()
        && remainingMillis(System.nanoTime()) > LEAST_MILLIS * 4;
  }

  /** Tries again after a failure that a backend server answered, or gives that answer. */
  void retryOrAnswer(AttemptBase attempt, int status, HttpHeaders headers, byte[] body) {
    long now = System.nanoTime();
    noteRan(attempt);
    placement.exclude(attempt.place());
    BackendDecision choice = placement.choose(now, remainingMillis(now));
    if (choice instanceof BackendDecision.Refuse) {
      placement.admit(attempt.place());
      choice = placement.choose(now, remainingMillis(now));
    }
    choice = placement.withRepeat(now, choice);
    if (choice instanceof BackendDecision.Refuse) {
      answer(status, headers, body);
      return;
    }
    log.seen(now, "status=" + status);
    carryOut(now, choice);
  }

  /** Sends the backend server's answer. */
  void answer(int status, HttpHeaders headers, byte[] body) {
    if (answer.begun()) {
      breakOff("status=" + status);
      return;
    }
    if (finish("answered status=" + status)) {
      gateway.metrics().answered(rank(), request.elapsedMillis(System.nanoTime()));
      answer.whole(status, headers, body);
    }
  }

  /** Sends whole events. */
  void events(HttpHeaders headers, byte[] whole, Optional<String> lastId) {
    if (ended) {
      return;
    }
    if (!answer.begun()) {
      long now = System.nanoTime();
      long millis = request.elapsedMillis(now);
      log.seen(now, "first-event=" + millis);
      gateway.metrics().answered(rank(), millis);
    }
    answer.events(headers, whole, lastId);
  }

  /** Ends the stream as complete. */
  void streamComplete(HttpHeaders headers) {
    if (finish("streamed")) {
      answer.complete(headers);
    }
  }

  private void giveUp(String why, double excessMillis) {
    if (mayHaveRun || answer.begun()) {
      breakOff(why);
      return;
    }
    if (finish("refused reason=" + why)) {
      gateway.metrics().refused(rank(), why);
      long remaining = remainingMillis(System.nanoTime());
      double fraction = ThreadLocalRandom.current().nextDouble();
      long after = RetryDelay.millis(excessMillis, remaining, fraction);
      answer.whole(503, gateway.notRunHeaders(id, after), new byte[0]);
    }
  }

  private void breakOff(String why) {
    if (finish("broken reason=" + why)) {
      answer.breakOff(502, gateway.failureHeaders(id));
    }
  }

  private void timeOut() {
    if (ended) {
      return;
    }
    cancelCurrent();
    boolean nothingSent = !mayHaveRun && !placement.wasAttempted();
    if (!finish("timeout")) {
      return;
    }
    if (nothingSent) {
      long after = Placement.RETRY_UNKNOWN_MILLIS;
      answer.whole(503, gateway.notRunHeaders(id, after), new byte[0]);
    } else {
      answer.breakOff(504, gateway.failureHeaders(id));
    }
  }

  private String rank() {
    return Integer.toString(route.rank());
  }

  private void cancelCurrent() {
    if (current != null) {
      current.cancel();
    }
  }

  private boolean finish(String outcome) {
    if (ended) {
      return false;
    }
    ended = true;
    endTimer.cancel(false);
    gateway.ended(route, outcome);
    log.end(System.nanoTime(), gateway.version(), outcome);
    return true;
  }

  /** Returns whether the request goes on with an attempt. */
  boolean goesOnWith(AttemptBase attempt) {
    return !ended && current == attempt;
  }

  @Override
  public void gone() {
    if (!ended) {
      cancelCurrent();
      finish("caller-left");
    }
  }

  @Override
  public void writabilityChanged(boolean writable) {
    if (!ended && current != null) {
      current.setReading(writable);
    }
  }

  /** Returns the headers of a backend server's answer that go on to the caller. */
  HttpHeaders toCaller(HttpHeaders headers) {
    return HeaderCopy.toCaller(gateway.edge(), id, headers);
  }

  /** Returns the caller's headers that go on to a backend server or another instance. */
  HttpHeaders toBackend(long nowNanos) {
    return HeaderCopy.toBackend(
        gateway.edge(), request, remainingMillis(nowNanos), answer.lastEvent());
  }
}
