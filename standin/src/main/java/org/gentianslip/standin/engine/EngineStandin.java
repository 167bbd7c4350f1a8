package org.gentianslip.standin.engine;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.gentianslip.standin.http.EventLoops;
import org.gentianslip.standin.http.HttpEndpoint;
import org.gentianslip.standin.http.HttpExchange;

/**
 * A stand-in for a model engine.
 *
 * <p>A request that is refused before its start is answered with status 503 and the header {@code
 * X-Not-Started: true}. Prefill processes one prompt at a time; its duration depends on the number
 * of tokens that are not in the prefix cache. A request whose client disconnects frees its slot
 * immediately. Safe for use by several threads.
 *
 * @see CompletionText
 */
public final class EngineStandin implements AutoCloseable {

  private static final FluentLogger log = FluentLogger.forEnclosingClass();
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final long NOT_LEAVING = Long.MIN_VALUE;

  private final EngineOptions options;
  private final BatchScheduler scheduler;
  private final OrderProcessor orders;
  private final EngineCounters counters = new EngineCounters();
  private final PrefixCache prefixCache;
  private final ScheduledFuture<?> loadSampling;
  private final HttpEndpoint endpoint;
  private long prefillBusyUntilNanos = System.nanoTime();
  private long sequence;
  private volatile long leavingSinceNanos = NOT_LEAVING;
  private volatile EngineFaults faults = EngineFaults.NONE;
  private volatile EngineLoadReport latestLoad;

  private EngineStandin(EngineOptions options) {
    this.options = options;
    this.scheduler = new BatchScheduler(options.slots(), options.queueLength());
    this.orders = new OrderProcessor(options.checksFencing(), options.models());
    this.prefixCache = new PrefixCache(options.cacheTokens());
    this.latestLoad = sampleLoad();
    this.endpoint = HttpEndpoint.start(options.port(), new EngineHandler(this));
    this.loadSampling =
        EventLoops.shared()
            .scheduleAtFixedRate(
                () -> latestLoad = sampleLoad(),
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

  /** Returns the id of the engine. */
  String id() {
    return options.id();
  }

  /** Returns the port that the engine listens on. */
  public int port() {
    return endpoint.port();
  }

  /** Sets whether the engine refuses new requests; accepted ones continue. */
  public void setLeaving(boolean leaving) {
    leavingSinceNanos = leaving ? System.nanoTime() : NOT_LEAVING;
    log.atInfo().log("engine: %s set to %s.", options.id(), leaving ? "leaving" : "live");
  }

  /** Sets the faults of all completions from now on. */
  public void setFaults(EngineFaults next) {
    faults = Objects.requireNonNull(next, "next");
  }

  /** Returns the counters since the start. */
  public EngineStats stats() {
    return counters.stats();
  }

  /** Returns the latest load report, which may be outdated. */
  public EngineLoadReport loadReport() {
    return latestLoad;
  }

  /** Returns the state that results from the accepted orders. */
  public OrderedEngineState state() {
    return orders.state();
  }

  @Override
  public void close() {
    loadSampling.cancel(false);
    endpoint.close();
  }

  /** Applies an order and returns whether it is accepted. */
  boolean apply(ReceivedOrder order) {
    if (!orders.apply(order)) {
      return false;
    }
    if (order.type().equals(ReceivedOrder.LOAD_MODEL)) {
      var unused =
          EventLoops.shared()
              .schedule(
                  () -> orders.finishLoading(order.target()),
                  options.loadModelMillis(),
                  TimeUnit.MILLISECONDS);
    }
    return true;
  }

  /** Accepts a request for a completion or refuses it. */
  void accept(HttpExchange exchange, CompletionRequest request) {
    counters.countSeen();
    long currentLeavingSinceNanos = leavingSinceNanos;
    if (currentLeavingSinceNanos != NOT_LEAVING) {
      counters.countSeenWhileLeaving(System.nanoTime() - currentLeavingSinceNanos);
      refuseBeforeStart(exchange, "leaving", "The engine is leaving.");
      return;
    }
    if (!orders.hasModel(request.model())) {
      exchange.respondError(404, "unknown_model", "The model is not loaded: " + request.model());
      return;
    }
    var generation = new Generation(exchange, request, nextSequence());
    if (!scheduler.offer(generation)) {
      refuseBeforeStart(exchange, "full", "The batch and the queue are full.");
      return;
    }
    exchange.onClose(() -> cancel(generation));
    startWaitingRequests();
  }

  private void refuseBeforeStart(HttpExchange exchange, String code, String message) {
    counters.countRefused();
    exchange.respondError(503, code, message, Map.of("X-Not-Started", "true"));
  }

  private void cancel(Generation generation) {
    if (scheduler.end(generation)) {
      counters.countCancelled();
      startWaitingRequests();
    }
  }

  private void startWaitingRequests() {
    for (var generation : scheduler.startWaiting()) {
      long nowNanos = System.nanoTime();
      generation.firstTokenNanos = prefill(generation, nowNanos);
      var delay = Duration.ofNanos(generation.firstTokenNanos - nowNanos);
      generation.exchange.schedule(delay, () -> generate(generation));
    }
  }

  /** Schedules the prefill of a prompt and returns the time of its end, in nanoseconds. */
  private synchronized long prefill(Generation generation, long nowNanos) {
    var request = generation.request;
    int cachedTokens = prefixCache.lookUpAndAdd(request.model(), request.prompt());
    counters.countStarted(generation.completion.digest(), request.promptTokens(), cachedTokens);
    double seconds = (request.promptTokens() - cachedTokens) / options.prefillTokensPerSecond();
    long beginNanos = prefillBusyUntilNanos - nowNanos > 0 ? prefillBusyUntilNanos : nowNanos;
    prefillBusyUntilNanos = beginNanos + (long) (seconds * NANOS_PER_SECOND);
    return prefillBusyUntilNanos;
  }

  private void generate(Generation generation) {
    if (!scheduler.isRunning(generation)) {
      return;
    }
    var currentFaults = faults;
    while (generation.emittedTokens < generation.request.maxTokens()) {
      long waitNanos = nextTokenNanos(generation) - System.nanoTime();
      if (waitNanos > 0) {
        generation.exchange.schedule(Duration.ofNanos(waitNanos), () -> generate(generation));
        return;
      }
      if (generation.emittedTokens == currentFaults.cutAfterTokens()) {
        generation.exchange.closeConnection();
        return;
      }
      if (generation.emittedTokens == currentFaults.stallAfterTokens()) {
        return;
      }
      emit(generation);
    }
    finish(generation);
  }

  private long nextTokenNanos(Generation generation) {
    double nanosSinceFirstToken =
        generation.emittedTokens * options.tokenMillis() * NANOS_PER_MILLI;
    return generation.firstTokenNanos + (long) nanosSinceFirstToken;
  }

  private static void emit(Generation generation) {
    int index = generation.emittedTokens++;
    if (!generation.request.stream()) {
      return;
    }
    if (index == 0) {
      generation.exchange.startStream("text/event-stream");
    }
    generation.exchange.writeChunk(CompletionWriter.tokenEvent(generation, index));
  }

  private void finish(Generation generation) {
    if (!scheduler.end(generation)) {
      return;
    }
    counters.countFinished();
    if (generation.request.stream()) {
      generation.exchange.writeChunk(
          CompletionWriter.finalEvent(generation) + CompletionWriter.DONE);
      generation.exchange.endStream();
    } else {
      generation.exchange.respondJson(200, CompletionWriter.completeBody(generation));
    }
    startWaitingRequests();
  }

  private synchronized long nextSequence() {
    return sequence++;
  }

  private EngineLoadReport sampleLoad() {
    return new EngineLoadReport(
        options.slots(),
        scheduler.running(),
        scheduler.waiting(),
        System.currentTimeMillis(),
        leavingSinceNanos != NOT_LEAVING,
        orders.state().models());
  }
}
