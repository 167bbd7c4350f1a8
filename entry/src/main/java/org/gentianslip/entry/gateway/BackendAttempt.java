package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.load.BackendDecision;
import org.gentianslip.core.load.PromptFetch;
import org.gentianslip.core.load.Reservation;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.Repeatability;

/** Sends a request to a backend server of the region. Used on one event loop only. */
final class BackendAttempt extends AttemptBase {

  private final BackendDecision.ToBackend choice;
  private final Backend backend;
  private Reservation reservation;

  BackendAttempt(RequestRun run, BackendDecision.ToBackend choice) {
    super(run);
    this.choice = choice;
    this.backend = choice.option().backend();
  }

  @Override
  void start(long nowNanos, int connectMillis) {
    boolean urgent = run().route().rank() == 0;
    reservation = choice.option().load().reserve(nowNanos, urgent, run().size(), choice.estimate());
    HttpHeaders headers = run().toBackend(nowNanos);
    run().gateway().edge().addForBackend(headers, backend, run().route().rank(), source());
    boolean fresh =
        run().route().repeatability() == Repeatability.ONCE && !run().route().streaming();
    int connect = (int) Math.min(connectMillis, Math.max(1, run().remainingMillis(nowNanos)));
    send(backend.address(), headers, fresh, connect);
  }

  private Optional<Backend> source() {
    return choice.estimate().copiedTokens() > 0
        ? choice.option().fetch().map(PromptFetch::source)
        : Optional.empty();
  }

  @Override
  void noteFailure(long nowNanos) {
    reservation.failed(nowNanos);
  }

  @Override
  void noteSilence(long nowNanos) {
    reservation.failed(nowNanos);
  }

  @Override
  void noteUnreachable(long nowNanos) {
    reservation.unreachable(nowNanos);
  }

  @Override
  EngineId place() {
    return backend.id();
  }

  @Override
  void released() {
    reservation.released();
  }

  @Override
  void firstEvent() {
    long now = System.nanoTime();
    reservation.firstEventReceived(now);
    run().gateway().state().promptRead(now, backend.id(), run().size());
  }

  @Override
  void streamed() {
    succeeded();
  }

  private void succeeded() {
    long now = System.nanoTime();
    reservation.succeeded(now);
    if (choice.option().load().pollRecovered()) {
      run().gateway().backendReturned(now, backend);
    }
  }

  @Override
  boolean isTrusted(HttpHeaders head) {
    return run().gateway().edge().isSigned(head);
  }

  @Override
  void answered(int status, HttpHeaders headers, byte[] whole) {
    long now = System.nanoTime();
    EdgeHeaders edge = run().gateway().edge();
    edge.coldMillis(headers)
        .ifPresent(
            m -> choice.option().load().markColdUntil(now + TimeUnit.MILLISECONDS.toNanos(m)));
    if (edge.isOtherBackend(status, headers)) {
      reservation.unreachable(now);
      run().attemptNotRun(this, "another backend server answered");
      return;
    }
    if (edge.isNotRun(status, headers)) {
      reservation.refusedAsFull(now);
      run().attemptNotRun(this, "not run, status=" + status);
      return;
    }
    boolean success = status >= 200 && status < 300;
    if (success && (!edge.isSigned(headers) || run().route().streaming())) {
      reservation.failed(now);
      run().attemptFailed(this, true, "unsigned answer");
      return;
    }
    if (success) {
      succeeded();
    } else {
      reservation.answeredWithError(now);
    }
    if (!success && run().retriesAfterError(status)) {
      run().retryOrAnswer(this, status, run().toCaller(headers), whole);
      return;
    }
    if (Gateway.promisesNotRun(status)) {
      run().attemptFailed(this, true, "status=" + status + " without a proof");
      return;
    }
    run().answer(status, run().toCaller(headers), whole);
  }
}
