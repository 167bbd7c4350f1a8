package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.BackendChoice;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.Choice;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.load.RetryTime;
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

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The least time in which an attempt is worth to be made, in milliseconds. */
  private static final long LEAST_MILLIS = 15;

  /** The time to connect to a backend server of the region, in milliseconds. */
  private static final int CONNECT_MILLIS = 350;

  /** The time to connect to an instance of another region, in milliseconds. */
  private static final int AWAY_CONNECT_MILLIS = 800;

  private static final int MAX_FORWARDS = 2;
  private static final long RETRY_UNKNOWN_MILLIS = 300;

  private final Gateway gateway;
  private final IncomingRequest request;
  private final CallerSink sink;
  private final Route route;
  private final ServiceId service;
  private final RequestSize size;
  private final boolean forwarded;
  private final String id;
  private final long endNanos;
  private final Set<EngineId> ran = new HashSet<>();
  private final Set<EngineId> excluded = new HashSet<>();
  private final StringBuilder trail = new StringBuilder();
  private AttemptBase current;
  private ScheduledFuture<?> endTimer;
  private int arrivals;
  private int forwards;
  private boolean mayHaveRun;
  private boolean begun;
  private boolean ended;
  private Optional<String> lastEvent = Optional.empty();

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
    this.route = route;
    this.forwarded = forwarded;
    this.id = request.headers().get(gateway.edge().requestId(), "");
    this.service = route.serviceFor(gateway.fractionOf(id));
    this.size = gateway.edge().sizeOf(request.headers(), request.body().length);
    this.endNanos = request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
  }

  void start() {
    sink.listen(this);
    long left = endNanos - System.nanoTime();
    endTimer = sink.loop().schedule(this::timeOut, left, TimeUnit.NANOSECONDS);
    if (!forwarded) {
      gateway.state().repeats(service).request(System.nanoTime());
    }
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
    return size;
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
      giveUp("no-time", RETRY_UNKNOWN_MILLIS);
      return;
    }
    if (arrivals > 0 && !mayRepeat(now)) {
      giveUp("no-repeat", RETRY_UNKNOWN_MILLIS);
      return;
    }
    carryOut(now, choose(now, left));
  }

  private void carryOut(long now, Choice choice) {
    if (choice instanceof Choice.ToBackend to) {
      send(now, to);
    } else if (choice instanceof Choice.ToRegion to) {
      forward(now, to);
    } else if (choice instanceof Choice.Refuse no) {
      giveUp(no.reason(), no.excessMillis());
    }
  }

  private Choice choose(long now, long left) {
    Candidates here =
        route.allows(gateway.state().place().region())
            ? gateway.state().candidates(now, route, service, size, this::mayUse)
            : Candidates.NONE;
    List<RegionOption> regions =
        forwarded || forwards >= MAX_FORWARDS || (ran.size() >= maxBackends())
            ? List.of()
            : gateway.state().regions(now, route, service, size);
    return BackendChoice.choose(now, route, size, left, here, regions);
  }

  /** Returns how many backend servers may run the request; a forwarded one counts as one. */
  private int maxBackends() {
    return forwarded ? 1 : route.maxBackends();
  }

  private boolean mayUse(EngineId backend) {
    return !excluded.contains(backend) && (ran.contains(backend) || ran.size() < maxBackends());
  }

  private boolean mayRepeat(long now) {
    return gateway.state().repeats(service).tryTake(now, gateway.state().extraRepeats());
  }

  private void send(long now, Choice.ToBackend to) {
    var backend = to.option().backend();
    var attempt = new BackendAttempt(this, to);
    current = attempt;
    note(
        "backend="
            + backend.id()
            + " wait="
            + Math.round(to.estimate().totalMillis())
            + " copy="
            + to.estimate().fetchTokens());
    attempt.start(now, CONNECT_MILLIS);
    watchSilence(attempt, to.estimate().totalMillis());
  }

  private void forward(long now, Choice.ToRegion to) {
    Optional<PeerRecord> peer = gateway.state().regionBook().instanceIn(now, to.region());
    if (peer.isEmpty()) {
      gateway.state().regionBook().pauseRegion(now, to.region());
      next();
      return;
    }
    forwards++;
    var attempt = new ForwardAttempt(this, peer.get());
    current = attempt;
    note("instance=" + peer.get().id() + " wait=" + Math.round(to.expectedMillis()));
    attempt.start(now, AWAY_CONNECT_MILLIS);
    watchSilence(attempt, to.expectedMillis());
  }

  private void watchSilence(AttemptBase attempt, double expectedMillis) {
    if (!route.repeatability().allowsSecondRun()) {
      return;
    }
    long bound = SilenceBound.millis(route, expectedMillis);
    sink.loop().schedule(() -> checkSilence(attempt, bound), bound, TimeUnit.MILLISECONDS);
  }

  private void checkSilence(AttemptBase attempt, long boundMillis) {
    if (ended || current != attempt) {
      return;
    }
    long now = System.nanoTime();
    long silent = TimeUnit.NANOSECONDS.toMillis(now - attempt.lastHeardNanos());
    if (silent < boundMillis) {
      long rest = boundMillis - silent + 1;
      sink.loop().schedule(() -> checkSilence(attempt, boundMillis), rest, TimeUnit.MILLISECONDS);
      return;
    }
    if (!sink.isWritable() || !mayRunElsewhere(attempt)) {
      return;
    }
    Choice elsewhere = chooseWithout(now, attempt);
    if (elsewhere instanceof Choice.Refuse || !mayRepeat(now)) {
      return;
    }
    attempt.noteSilence(now);
    attempt.cancel();
    attempt.noteRan();
    mayHaveRun = true;
    note("silent for " + silent + " ms");
    carryOut(now, elsewhere);
  }

  private boolean mayRunElsewhere(AttemptBase attempt) {
    return ran.size() + 1 < maxBackends() && (!begun || lastEvent.isPresent());
  }

  /** Chooses as if the request had been tried in vain where it is now. */
  private Choice chooseWithout(long now, AttemptBase attempt) {
    attempt.exclude();
    return choose(now, remainingMillis(now));
  }

  /** An answer other than a success came; it proves that the request did not run there. */
  void attemptNotRun(AttemptBase attempt, String why) {
    if (ended || current != attempt) {
      return;
    }
    note(why);
    attempt.exclude();
    next();
  }

  /** An attempt ended without an answer. */
  void attemptFailed(AttemptBase attempt, boolean written, String why) {
    if (ended || current != attempt) {
      return;
    }
    note(why);
    attempt.exclude();
    if (written) {
      attempt.noteRan();
      mayHaveRun = true;
      if (!route.repeatability().allowsSecondRun()) {
        breakOff("unknown");
        return;
      }
      if (begun && lastEvent.isEmpty()) {
        breakOff("no-event-id");
        return;
      }
    }
    next();
  }

  /** Counts a backend server that may have run the request. */
  void ranAt(EngineId backend) {
    ran.add(backend);
  }

  void excludeBackend(EngineId backend) {
    excluded.add(backend);
  }

  void arrived() {
    arrivals++;
  }

  /** Returns whether a failure that a backend server answered is better hidden by another run. */
  boolean retriesAfterError(int status) {
    return status >= 500
        && route.repeatability().allowsSecondRun()
        && !begun
        && remainingMillis(System.nanoTime()) > LEAST_MILLIS * 4;
  }

  /** Tries again after a failure that a backend server answered, or gives that answer. */
  void retryOrAnswer(AttemptBase attempt, int status, HttpHeaders headers, byte[] body) {
    long now = System.nanoTime();
    attempt.noteRan();
    mayHaveRun = true;
    Set<EngineId> before = Set.copyOf(excluded);
    Choice choice = chooseWithout(now, attempt);
    if (choice instanceof Choice.Refuse) {
      excluded.retainAll(before);
      choice = choose(now, remainingMillis(now));
    }
    if (choice instanceof Choice.Refuse || !mayRepeat(now)) {
      answer(status, headers, body);
      return;
    }
    note("status=" + status);
    carryOut(now, choice);
  }

  /** Sends the backend server's answer. */
  void answer(int status, HttpHeaders headers, byte[] body) {
    if (begun) {
      breakOff("status=" + status);
      return;
    }
    if (finish("answered status=" + status)) {
      sink.answer(status, headers, body);
    }
  }

  /** Sends whole events; the head goes before the first. */
  void events(HttpHeaders headers, byte[] whole, Optional<String> lastId) {
    if (ended) {
      return;
    }
    if (!begun) {
      begun = true;
      note("first-event=" + elapsedMillis());
      sink.begin(200, headers);
    }
    lastId.ifPresent(l -> lastEvent = Optional.of(l));
    sink.write(whole);
  }

  /** Ends the stream as complete. */
  void streamComplete(HttpHeaders headers) {
    if (ended) {
      return;
    }
    if (!begun) {
      begun = true;
      sink.begin(200, headers);
    }
    if (finish("streamed")) {
      sink.end();
    }
  }

  private void giveUp(String why, double excessMillis) {
    if (mayHaveRun || begun) {
      breakOff(why);
      return;
    }
    if (finish("refused reason=" + why)) {
      long remaining = remainingMillis(System.nanoTime());
      double fraction = ThreadLocalRandom.current().nextDouble();
      long after = RetryTime.millis(excessMillis, remaining, fraction);
      sink.answer(503, gateway.notRunHeaders(id, after), new byte[0]);
    }
  }

  private void breakOff(String why) {
    if (!finish("broken reason=" + why)) {
      return;
    }
    if (begun) {
      sink.abort();
    } else {
      sink.answer(502, gateway.failureHeaders(id), new byte[0]);
    }
  }

  private void timeOut() {
    if (ended) {
      return;
    }
    cancelCurrent();
    boolean nothingSent = !mayHaveRun && arrivals == 0;
    if (!finish("timeout")) {
      return;
    }
    if (begun) {
      sink.abort();
    } else if (nothingSent) {
      sink.answer(503, gateway.notRunHeaders(id, RETRY_UNKNOWN_MILLIS), new byte[0]);
    } else {
      sink.answer(504, gateway.failureHeaders(id), new byte[0]);
    }
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
    LOGGER.atInfo().log(
        "gateway: event=request id=%s route=%s rank=%s version=%s forwarded=%s millis=%s trail=[%s]"
            + " outcome=%s",
        id,
        route.name(),
        route.rank(),
        gateway.version(),
        forwarded,
        elapsedMillis(),
        trail,
        outcome);
    return true;
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - request.receivedNanos());
  }

  private void note(String step) {
    trail.append(trail.length() == 0 ? "" : "; ").append(step);
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
    return HeaderCopy.toBackend(gateway.edge(), request, remainingMillis(nowNanos), lastEvent);
  }
}
