package org.gentianslip.standin.engine;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.gentianslip.standin.http.EventLoops;
import org.gentianslip.standin.http.HttpCall;
import org.gentianslip.standin.http.HttpEndpoint;

/**
 * Stands in for a model engine.
 *
 * <p>A request that is refused before its start is answered 503 with {@code X-Not-Started: true}.
 * Prompts are read one after the other; the time depends on the tokens that the prefix cache does
 * not hold. A request whose caller goes away gives its slot back at once. Safe for use by several
 * threads.
 *
 * @see AnswerText
 */
public final class EngineStandin implements AutoCloseable {

  private static final FluentLogger log = FluentLogger.forEnclosingClass();
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final long NOT_LEAVING = Long.MIN_VALUE;

  private final EngineOptions options;
  private final Batch batch;
  private final OrderBook orders;
  private final EngineCounters counters = new EngineCounters();
  private final PrefixCache cache;
  private final ScheduledFuture<?> sampling;
  private final HttpEndpoint endpoint;
  private long prefillFreeNanos = System.nanoTime();
  private long sequence;
  private volatile long leavingSinceNanos = NOT_LEAVING;
  private volatile EngineFaults faults = EngineFaults.NONE;
  private volatile EngineLoad load;

  private EngineStandin(EngineOptions options) {
    this.options = options;
    this.batch = new Batch(options.slots(), options.queueLength());
    this.orders = new OrderBook(options.checksFencing(), options.models());
    this.cache = new PrefixCache(options.cacheTokens());
    this.load = sampleLoad();
    this.endpoint = HttpEndpoint.start(options.port(), new EngineHandler(this));
    this.sampling =
        EventLoops.shared()
            .scheduleAtFixedRate(
                () -> load = sampleLoad(),
                options.loadLagMillis(),
                options.loadLagMillis(),
                TimeUnit.MILLISECONDS);
  }

  /**
   * Starts an engine.
   *
   * @throws IllegalStateException if the port cannot be opened
   */
  public static EngineStandin start(EngineOptions options) {
    return new EngineStandin(Objects.requireNonNull(options, "options"));
  }

  /** Returns the port that is listened on. */
  public int port() {
    return endpoint.port();
  }

  /** Sets whether the engine refuses new requests; those that it took go on. */
  public void setLeaving(boolean leaving) {
    leavingSinceNanos = leaving ? System.nanoTime() : NOT_LEAVING;
    log.atInfo().log("engine: %s is %s.", options.id(), leaving ? "leaving" : "live");
  }

  /** Sets the faults of answers from now on. */
  public void setFaults(EngineFaults next) {
    faults = Objects.requireNonNull(next, "next");
  }

  /** Returns the counters since the start. */
  public EngineStats stats() {
    return counters.stats();
  }

  /** Returns the load report, which may lag. */
  public EngineLoad load() {
    return load;
  }

  /** Returns what orders have made of the engine. */
  public EngineState state() {
    return orders.state();
  }

  @Override
  public void close() {
    sampling.cancel(false);
    endpoint.close();
  }

  /** Applies an order and returns whether it is accepted. */
  boolean apply(EngineOrder order) {
    if (!orders.apply(order)) {
      return false;
    }
    if (order.type().equals(EngineOrder.LOAD_MODEL)) {
      var unused =
          EventLoops.shared()
              .schedule(
                  () -> orders.finishLoading(order.target()),
                  options.loadModelMillis(),
                  TimeUnit.MILLISECONDS);
    }
    return true;
  }

  /** Takes a request or refuses it. */
  void accept(HttpCall call, CompletionRequest request) {
    counters.countSeen();
    long leavingSince = leavingSinceNanos;
    if (leavingSince != NOT_LEAVING) {
      counters.countSeenWhileLeaving(System.nanoTime() - leavingSince);
      refuse(call, "leaving", "The engine is leaving.");
      return;
    }
    if (!orders.hasModel(request.model())) {
      call.answerError(404, "unknown_model", "The model is not loaded: " + request.model());
      return;
    }
    var generation = new Generation(call, request, nextSequence());
    if (!batch.offer(generation)) {
      refuse(call, "full", "The batch and the queue are full.");
      return;
    }
    call.onClose(() -> cancel(generation));
    startWaiting();
  }

  private void refuse(HttpCall call, String code, String message) {
    counters.countRefused();
    call.answerError(503, code, message, Map.of("X-Not-Started", "true"));
  }

  private void cancel(Generation generation) {
    if (batch.end(generation)) {
      counters.countCancelled();
      startWaiting();
    }
  }

  private void startWaiting() {
    for (var generation : batch.fill()) {
      long now = System.nanoTime();
      generation.firstTokenNanos = prefill(generation, now);
      var delay = Duration.ofNanos(generation.firstTokenNanos - now);
      generation.call.schedule(delay, () -> generate(generation));
    }
  }

  /** Returns when the prompt is read. */
  private synchronized long prefill(Generation generation, long nowNanos) {
    var request = generation.request;
    int cached = cache.use(request.model(), request.prompt());
    counters.countStarted(generation.answer.digest(), request.promptTokens(), cached);
    double seconds = (request.promptTokens() - cached) / options.prefillTokensPerSecond();
    long begin = prefillFreeNanos - nowNanos > 0 ? prefillFreeNanos : nowNanos;
    prefillFreeNanos = begin + (long) (seconds * NANOS_PER_SECOND);
    return prefillFreeNanos;
  }

  private void generate(Generation generation) {
    if (!batch.isRunning(generation)) {
      return;
    }
    var current = faults;
    while (generation.emitted < generation.request.maxTokens()) {
      long wait = dueNanos(generation) - System.nanoTime();
      if (wait > 0) {
        generation.call.schedule(Duration.ofNanos(wait), () -> generate(generation));
        return;
      }
      if (generation.emitted == current.cutAfterTokens()) {
        generation.call.closeConnection();
        return;
      }
      if (generation.emitted == current.stallAfterTokens()) {
        return;
      }
      emit(generation);
    }
    finish(generation);
  }

  private long dueNanos(Generation generation) {
    double sinceFirst = generation.emitted * options.tokenMillis() * NANOS_PER_MILLI;
    return generation.firstTokenNanos + (long) sinceFirst;
  }

  private static void emit(Generation generation) {
    int index = generation.emitted++;
    if (!generation.request.stream()) {
      return;
    }
    if (index == 0) {
      generation.call.startParts("text/event-stream");
    }
    generation.call.writePart(CompletionWriter.event(generation, index));
  }

  private void finish(Generation generation) {
    if (!batch.end(generation)) {
      return;
    }
    counters.countFinished();
    if (generation.request.stream()) {
      generation.call.writePart(CompletionWriter.lastEvent(generation) + CompletionWriter.DONE);
      generation.call.endParts();
    } else {
      generation.call.answerJson(200, CompletionWriter.whole(generation));
    }
    startWaiting();
  }

  private synchronized long nextSequence() {
    return sequence++;
  }

  private EngineLoad sampleLoad() {
    return new EngineLoad(
        options.slots(),
        batch.running(),
        batch.waiting(),
        System.currentTimeMillis(),
        leavingSinceNanos != NOT_LEAVING,
        orders.state().models());
  }
}
