package org.gentianslip.entry.explain;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.gentianslip.core.id.RequestId;

/**
 * Keeps the steps of the most recent requests.
 *
 * <p>It holds at most {@value #MAX_REQUESTS} requests and no payload. Safe for use by several
 * threads.
 */
public final class DecisionLog {

  private static final int MAX_REQUESTS = 8_192;
  private static final int MAX_STEPS_PER_REQUEST = 32;

  /**
   * One step of a request.
   *
   * @param atMillis the time since the request was admitted, in milliseconds
   * @param step the name of the step
   * @param target the engine, region or instance that the step concerns
   * @param reason the reason for the step
   */
  public record Step(long atMillis, String step, String target, String reason) {}

  /** The recorded steps of one request. Safe for use by several threads. */
  public static final class Trace {

    private final List<Step> steps = new CopyOnWriteArrayList<>();

    /** Adds a step, unless {@value #MAX_STEPS_PER_REQUEST} steps were added before. */
    public void add(Step step) {
      if (steps.size() < MAX_STEPS_PER_REQUEST) {
        steps.add(step);
      }
    }
  }

  private final Cache<RequestId, Trace> traces =
      // Evicts on the calling thread, as waking another thread for each request costs more.
      Caffeine.newBuilder().maximumSize(MAX_REQUESTS).executor(Runnable::run).build();

  /** Returns the trace of a request, which is created if necessary. */
  public Trace traceOf(RequestId id) {
    return traces.get(id, i -> new Trace());
  }

  /** Adds a step to the trace of a request. */
  public void add(RequestId id, Step step) {
    traceOf(id).add(step);
  }

  /** Returns the recorded steps of a request, or an empty list if the request is not known. */
  public List<Step> steps(RequestId id) {
    Trace trace = traces.getIfPresent(id);
    return trace == null ? List.of() : List.copyOf(trace.steps);
  }
}
