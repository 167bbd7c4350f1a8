package org.gentianslip.bench.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.gentianslip.bench.time.EventLoop;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.Rank;

/**
 * A simulated model engine with continuous batching and chunked prefill.
 *
 * <p>The engine works in steps. In each step, every sequence that has finished prefilling gets one
 * token, and one chunk of prompt tokens is prefilled, urgent prompts first. The duration of a step
 * grows with the number of sequences and of prefilled tokens. A prompt whose prefix is in the cache
 * needs prefilling only for the rest. A sequence occupies its slot until its answer is complete.
 * Not thread-safe.
 */
public final class SimulatedEngine {

  private final EngineId id;
  private final EngineSpec spec;
  private final EventLoop loop;
  private final EngineObserver observer;
  private final PrefixCache cache;
  private final List<Sequence> running = new ArrayList<>();
  private final PriorityQueue<Sequence> waiting = new PriorityQueue<>(Sequence.ORDER);
  private long nextSequenceNumber;
  private int incarnation;
  private boolean stepInProgress;
  private boolean up = true;

  /** Creates an idle engine with an empty cache. */
  public SimulatedEngine(EngineId id, EngineSpec spec, EventLoop loop, EngineObserver observer) {
    this.id = id;
    this.spec = spec;
    this.loop = loop;
    this.observer = observer;
    this.cache = new PrefixCache(spec.cacheCapacityTokens());
  }

  /** Returns the id of the engine. */
  public EngineId id() {
    return id;
  }

  /** Returns whether the engine is up. */
  public boolean isUp() {
    return up;
  }

  /** Returns the number of requests in the batch. */
  public int running() {
    return running.size();
  }

  /** Returns the number of requests that wait for a slot. */
  public int waiting() {
    return waiting.size();
  }

  /** Submits a request; refuses it if the engine is down or its waiting queue is full. */
  public void submit(EngineRequest request) {
    if (!up || waiting.size() >= spec.maxWaiting()) {
      request.listener().onRefused();
      return;
    }
    waiting.add(new Sequence(request, nextSequenceNumber++));
    if (!stepInProgress) {
      startStep();
    }
  }

  /** Fails the engine: all its requests and its cache are lost. */
  public void fail() {
    up = false;
    stepInProgress = false;
    incarnation++;
    List<Sequence> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    cache.clear();
    lost.forEach(sequence -> sequence.request.listener().onLost());
  }

  /** Brings the engine back up, with an empty cache. */
  public void restore() {
    up = true;
  }

  private void startStep() {
    admit();
    stepInProgress = !running.isEmpty();
    if (!stepInProgress) {
      return;
    }
    int chunkLeft = spec.prefillChunkTokens();
    List<Sequence> prefilled = new ArrayList<>();
    Map<Rank, Integer> decoding = new EnumMap<>(Rank.class);
    for (Sequence sequence : running) {
      if (sequence.promptTokensLeft == 0) {
        decoding.merge(sequence.request.rank(), 1, Integer::sum);
        continue;
      }
      int tokens = Math.min(chunkLeft, sequence.promptTokensLeft);
      chunkLeft -= tokens;
      sequence.promptTokensLeft -= tokens;
      if (sequence.promptTokensLeft == 0) {
        prefilled.add(sequence);
      }
    }
    int prefilledTokens = spec.prefillChunkTokens() - chunkLeft;
    long durationNanos =
        spec.baseStepNanos()
            + spec.stepNanosPerSequence() * running.size()
            + spec.stepNanosPerPromptToken() * prefilledTokens;
    int startIncarnation = incarnation;
    loop.after(
        durationNanos,
        () -> {
          if (startIncarnation == incarnation) {
            finishStep(durationNanos, decoding, prefilled);
          }
        });
  }

  private void finishStep(
      long durationNanos, Map<Rank, Integer> decoding, List<Sequence> prefilled) {
    observer.onSlotsOccupied(durationNanos * running.size());
    decoding.forEach((rank, count) -> observer.onTokens(rank, durationNanos, count));
    List<Sequence> finished = new ArrayList<>();
    for (Sequence sequence : running) {
      if (sequence.promptTokensLeft > 0) {
        continue;
      }
      sequence.answerTokensLeft--;
      if (sequence.answerTokensLeft <= 0) {
        finished.add(sequence);
      }
    }
    running.removeAll(finished);
    for (Sequence sequence : prefilled) {
      cache.put(sequence.request.prefixDigest(), sequence.request.prefixTokens());
      sequence.request.listener().onFirstToken();
    }
    finished.forEach(sequence -> sequence.request.listener().onComplete());
    startStep();
  }

  private void admit() {
    while (running.size() < spec.slots() && !waiting.isEmpty()) {
      Sequence sequence = waiting.poll();
      boolean hit = cache.lookUp(sequence.request.prefixDigest());
      observer.onPrefixLookup(hit);
      int tokensToPrefill =
          sequence.request.promptTokens() - (hit ? sequence.request.prefixTokens() : 0);
      sequence.promptTokensLeft = Math.max(1, tokensToPrefill);
      running.add(sequence);
    }
    running.sort(Sequence.ORDER);
  }

  /** The state of a request in the engine. Not thread-safe. */
  private static final class Sequence {

    private static final Comparator<Sequence> ORDER =
        Comparator.<Sequence, Rank>comparing(sequence -> sequence.request.rank())
            .thenComparingLong(sequence -> sequence.number);

    private final EngineRequest request;
    private final long number;
    private int promptTokensLeft;
    private int answerTokensLeft;

    private Sequence(EngineRequest request, long number) {
      this.request = request;
      this.number = number;
      this.answerTokensLeft = request.answerTokens();
    }
  }
}
