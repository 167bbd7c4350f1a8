package org.gentianslip.entry.explain;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.gentianslip.core.id.RequestId;

/**
 * Keeps the steps of the last requests.
 *
 * <p>It holds at most {@value #MAX_REQUESTS} requests and no payload. Safe for use by several
 * threads.
 */
public final class DecisionLog {

  private static final int MAX_REQUESTS = 8_192;
  private static final int MAX_STEPS = 32;

  /**
   * Tells one step of a request.
   *
   * @param atMillis when, in milliseconds since the request was admitted
   * @param step what was decided
   * @param target which engine, region or instance it concerns
   * @param reason why
   */
  public record Step(long atMillis, String step, String target, String reason) {}

  /** Takes the steps of one request. Safe for use by several threads. */
  public static final class Trace {

    private final List<Step> steps = new CopyOnWriteArrayList<>();

    /** Adds a step, unless there are too many. */
    public void add(Step step) {
      if (steps.size() < MAX_STEPS) {
        steps.add(step);
      }
    }
  }

  private final Cache<RequestId, DecisionLog.Trace> accounts =
      Caffeine.newBuilder().maximumSize(MAX_REQUESTS).build();

  /** Returns the account of a request. */
  public DecisionLog.Trace traceOf(RequestId id) {
    return accounts.get(id, i -> new DecisionLog.Trace());
  }

  /** Adds a step of a request. */
  public void add(RequestId id, Step step) {
    traceOf(id).add(step);
  }

  /** Returns the steps of a request; the list is empty if it is not known. */
  public List<Step> steps(RequestId id) {
    DecisionLog.Trace known = accounts.getIfPresent(id);
    return known == null ? List.of() : List.copyOf(known.steps);
  }
}
