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
 * Behaves like a model engine that batches continuously.
 *
 * <p>It works in steps. In a step each sequence that has its first token gets one more, and a chunk
 * of prompt tokens is worked off, urgent prompts first. A step takes longer with more sequences and
 * more prompt tokens. A prompt whose prefix is in the cache needs only its rest. A sequence keeps
 * its slot until its answer is whole. For one thread.
 */
public final class FakeEngine {

  private final EngineId id;
  private final EngineModel model;
  private final EventLoop loop;
  private final EngineMeter meter;
  private final PrefixCache cache;
  private final List<Sequence> running = new ArrayList<>();
  private final PriorityQueue<Sequence> waiting = new PriorityQueue<>(Sequence.ORDER);
  private long number;
  private int life;
  private boolean stepping;
  private boolean up = true;

  /** Makes an idle engine with an empty cache. */
  public FakeEngine(EngineId id, EngineModel model, EventLoop loop, EngineMeter meter) {
    this.id = id;
    this.model = model;
    this.loop = loop;
    this.meter = meter;
    this.cache = new PrefixCache(model.cacheTokens());
  }

  /** Returns the engine's id. */
  public EngineId id() {
    return id;
  }

  /** Returns whether the engine works. */
  public boolean isUp() {
    return up;
  }

  /** Returns the number of requests in the batch. */
  public int running() {
    return running.size();
  }

  /** Returns the number of requests that wait. */
  public int waiting() {
    return waiting.size();
  }

  /** Takes a request. */
  public void submit(EngineJob job) {
    if (!up || waiting.size() >= model.maxWaiting()) {
      job.listener().onRefused();
      return;
    }
    waiting.add(new Sequence(job, number++));
    if (!stepping) {
      step();
    }
  }

  /** Fails: all requests and the cache are lost. */
  public void fail() {
    up = false;
    stepping = false;
    life++;
    List<Sequence> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    cache.clear();
    lost.forEach(s -> s.job.listener().onLost());
  }

  /** Works again, with an empty cache. */
  public void restore() {
    up = true;
  }

  private void step() {
    admit();
    stepping = !running.isEmpty();
    if (!stepping) {
      return;
    }
    int chunk = model.chunkTokens();
    List<Sequence> prefilled = new ArrayList<>();
    Map<Rank, Integer> decoding = new EnumMap<>(Rank.class);
    for (Sequence sequence : running) {
      if (sequence.promptLeft == 0) {
        decoding.merge(sequence.job.rank(), 1, Integer::sum);
        continue;
      }
      int part = Math.min(chunk, sequence.promptLeft);
      chunk -= part;
      sequence.promptLeft -= part;
      if (sequence.promptLeft == 0) {
        prefilled.add(sequence);
      }
    }
    int worked = model.chunkTokens() - chunk;
    long duration =
        model.stepNanos() + model.sequenceNanos() * running.size() + model.prefillNanos() * worked;
    int current = life;
    loop.after(
        duration,
        () -> {
          if (current == life) {
            finishStep(duration, decoding, prefilled);
          }
        });
  }

  private void finishStep(long duration, Map<Rank, Integer> decoding, List<Sequence> prefilled) {
    meter.onSlots(duration * running.size());
    decoding.forEach((rank, count) -> meter.onTokens(rank, duration, count));
    List<Sequence> done = new ArrayList<>();
    for (Sequence sequence : running) {
      if (sequence.promptLeft > 0) {
        continue;
      }
      sequence.answerLeft--;
      if (sequence.answerLeft <= 0) {
        done.add(sequence);
      }
    }
    running.removeAll(done);
    for (Sequence sequence : prefilled) {
      cache.put(sequence.job.prefix(), sequence.job.prefixTokens());
      sequence.job.listener().onFirstToken();
    }
    done.forEach(s -> s.job.listener().onDone());
    step();
  }

  private void admit() {
    while (running.size() < model.slots() && !waiting.isEmpty()) {
      Sequence sequence = waiting.poll();
      boolean hit = cache.use(sequence.job.prefix());
      meter.onPrefix(hit);
      int prompt = sequence.job.promptTokens() - (hit ? sequence.job.prefixTokens() : 0);
      sequence.promptLeft = Math.max(1, prompt);
      running.add(sequence);
    }
    running.sort(Sequence.ORDER);
  }

  /** Holds a request in the engine. For one thread. */
  private static final class Sequence {

    private static final Comparator<Sequence> ORDER =
        Comparator.<Sequence, Rank>comparing(s -> s.job.rank()).thenComparingLong(s -> s.number);

    private final EngineJob job;
    private final long number;
    private int promptLeft;
    private int answerLeft;

    private Sequence(EngineJob job, long number) {
      this.job = job;
      this.number = number;
      this.answerLeft = job.answerTokens();
    }
  }
}
