package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.stream.EngineContacts;
import org.gentianslip.core.stream.RunEvidence;
import org.gentianslip.core.stream.RunFacts;
import org.gentianslip.core.stream.RunStep;
import org.gentianslip.core.stream.RunWatch;

/**
 * Asks the engine of a silent or broken stream for its runs until the stream goes on, may be
 * started elsewhere, or ends. Confined to one event loop.
 */
final class RunGuard {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final RequestExecution execution;
  private final BackendAttempt attempt;
  private final long silenceMillis;
  private final RunWatch watch;
  private final long begunNanos = System.nanoTime();

  private RunGuard(
      RequestExecution execution, BackendAttempt attempt, long silenceMillis, RunWatch watch) {
    this.execution = execution;
    this.attempt = attempt;
    this.silenceMillis = silenceMillis;
    this.watch = watch;
  }

  /** Guards a stream that has been silent for the given time. */
  static void startSilent(RequestExecution execution, BackendAttempt attempt, long silenceMillis) {
    new RunGuard(execution, attempt, silenceMillis, RunWatch.ofSilent()).check();
  }

  /** Guards a stream whose connection has failed after it may have been written. */
  static void startBroken(RequestExecution execution, BackendAttempt attempt) {
    new RunGuard(execution, attempt, 0, RunWatch.ofBroken()).check();
  }

  private void check() {
    if (!execution.isCurrent(attempt)) {
      return;
    }
    if (hasGoneOn()) {
      SilenceMonitor.start(attempt, silenceMillis);
      return;
    }
    long now = System.nanoTime();
    if (!watch.isClosed() && !(execution.mayReplace() && facts(now).canMove())) {
      schedule(silenceMillis);
      return;
    }
    if (isDisplaced(now)) {
      onEvidence(RunEvidence.OTHER_SERVER);
      return;
    }
    askAnotherEngine(now);
    ask(attempt.backend(), this::onEvidence);
  }

  /** Returns whether another server is known to have the engine's address. */
  private boolean isDisplaced(long nowNanos) {
    Gateway gateway = execution.gateway();
    return gateway.state().published().isAddressTaken(attempt.backend())
        || gateway.engineContacts().isDisplaced(nowNanos, attempt.backend());
  }

  private boolean hasGoneOn() {
    return !watch.isClosed() && attempt.lastReceivedNanos() - begunNanos > 0;
  }

  /** Finds out whether the engines of the service have the call at all, if that is not known. */
  private void askAnotherEngine(long nowNanos) {
    boolean known = execution.gateway().engineContacts().hasAnswered(execution.service());
    if (!known && !watch.isClosed()) {
      execution.otherEngine(nowNanos, attempt).ifPresent(engine -> ask(engine, e -> {}));
    }
  }

  private void ask(Backend engine, Consumer<RunEvidence> onResult) {
    RunQuery.start(
        execution.gateway(), execution.writer().eventLoop(), engine, execution.id(), onResult);
  }

  private RunFacts facts(long nowNanos) {
    EngineContacts contacts = execution.gateway().engineContacts();
    return new RunFacts(
        contacts.heardNanos(nowNanos, attempt.target()).get(),
        attempt.writtenNanos(),
        contacts.answersCalls(execution.service()),
        execution.remainingMillis(nowNanos),
        execution.millisElsewhere(nowNanos, attempt),
        silenceMillis);
  }

  private void onEvidence(RunEvidence evidence) {
    if (!execution.isCurrent(attempt)) {
      return;
    }
    if (hasGoneOn()) {
      SilenceMonitor.start(attempt, silenceMillis);
      return;
    }
    long now = System.nanoTime();
    RunFacts facts = facts(now);
    RunStep step = watch.next(now, evidence, facts);
    log(now, evidence, facts, step);
    perform(now, step);
  }

  private void perform(long nowNanos, RunStep step) {
    if (step.action() == RunStep.Action.MOVE) {
      if (!execution.moveSilent(nowNanos, attempt)) {
        schedule(silenceMillis);
      }
      return;
    }
    if (step.action() == RunStep.Action.RELEASE) {
      execution.releaseSilent(nowNanos, attempt);
    }
    schedule(step.delayMillis());
  }

  private void schedule(long delayMillis) {
    execution.writer().eventLoop().schedule(this::check, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void log(long nowNanos, RunEvidence evidence, RunFacts facts, RunStep step) {
    LOGGER.atInfo().log(
        "gateway: event=silent-run id=%s backend=%s silent-millis=%s evidence=%s heard-age=%s"
            + " call-known=%s remaining=%s elsewhere=%s action=%s delay=%s",
        execution.id(),
        attempt.target(),
        TimeUnit.NANOSECONDS.toMillis(nowNanos - attempt.lastReceivedNanos()),
        evidence,
        TimeUnit.NANOSECONDS.toMillis(nowNanos - facts.heardNanos()),
        facts.callKnown(),
        facts.remainingMillis(),
        Math.round(facts.attemptMillis()),
        step.action(),
        step.delayMillis());
  }
}
