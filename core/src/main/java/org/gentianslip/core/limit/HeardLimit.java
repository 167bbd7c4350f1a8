package org.gentianslip.core.limit;

import java.util.Optional;

/**
 * The newest statement of a backend server about one of its limits. Not thread-safe.
 *
 * <p>It belongs to one start of the backend server.
 */
public final class HeardLimit {

  private StatedLimit newest;

  /**
   * Records a statement, unless something newer is known.
   *
   * @return whether the limit has changed
   */
  public boolean apply(StatedLimit next) {
    if (newest != null && !next.isNewerThan(newest)) {
      return false;
    }
    boolean changed = newest == null ? next.isLimited() : next.perSecond() != newest.perSecond();
    newest = next;
    return changed;
  }

  /**
   * Records an answer that names no limit, which ends a limit that was known when the request was
   * sent.
   *
   * @param sentNanos when the request was sent
   * @return whether the limit has changed
   */
  public boolean end(long sentNanos, long nowNanos) {
    boolean ends = newest != null && sentNanos - newest.heardNanos() >= 0;
    return ends && apply(StatedLimit.none(nowNanos));
  }

  /** Returns whether there is a limit. */
  public boolean isLimited() {
    return newest != null && newest.isLimited();
  }

  /** Returns the newest statement, if there is any. */
  public Optional<StatedLimit> newest() {
    return Optional.ofNullable(newest);
  }
}
