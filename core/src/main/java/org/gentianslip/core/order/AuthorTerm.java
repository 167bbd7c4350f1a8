package org.gentianslip.core.order;

import java.util.Optional;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * The term for which an instance is the author of the orders to an engine.
 *
 * <p>A term continues without a new quiet time only from one version of the list to the next one,
 * since another instance may have been the author in a version in between. Immutable.
 *
 * @param fence the fence of the orders
 * @param quietUntilNanos when the orders of all earlier authors have expired, in nanoseconds of the
 *     monotonic clock
 */
record AuthorTerm(Fence fence, long quietUntilNanos) {

  /**
   * Returns the term that follows from a view, or nothing if another instance is the author.
   *
   * @param previous the term under the previous view
   * @param nowNanos when the view was received, in nanoseconds of the monotonic clock
   */
  static Optional<AuthorTerm> ofView(
      AuthorView view,
      EngineId engine,
      InstanceId self,
      Optional<AuthorTerm> previous,
      OrderTimes times,
      long nowNanos) {
    if (!view.author(engine).equals(Optional.of(self))) {
      return Optional.empty();
    }
    long quietUntil =
        previous
            .filter(earlier -> view.version() - earlier.fence.listVersion() <= 1)
            .map(AuthorTerm::quietUntilNanos)
            .orElse(nowNanos + times.quietNanos());
    return Optional.of(new AuthorTerm(view.fence(self), quietUntil));
  }

  boolean isQuiet(long nowNanos) {
    return quietUntilNanos - nowNanos > 0;
  }
}
