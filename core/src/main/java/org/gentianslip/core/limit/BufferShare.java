package org.gentianslip.core.limit;

/**
 * The part of a {@link BufferQuota} that one response uses.
 *
 * <p>The first bytes of each response are free, so that small responses are passed on while large
 * ones use up the quota. Not thread-safe.
 */
public final class BufferShare {

  /** The number of bytes of each response that are not taken from the quota. */
  public static final long FREE_BYTES = 16 << 10;

  private final BufferQuota quota;
  private long takenBytes;

  private BufferShare(BufferQuota quota) {
    this.quota = quota;
  }

  /** Returns an empty share of a quota. */
  public static BufferShare of(BufferQuota quota) {
    return new BufferShare(quota);
  }

  /** Changes the size of this share if the quota allows it, and returns whether it did. */
  public boolean tryResize(long bytes) {
    long more = bytesToTake(bytes) - takenBytes;
    if (more > 0 && !quota.tryTake(more)) {
      return false;
    }
    if (more < 0) {
      quota.giveBack(-more);
    }
    takenBytes += more;
    return true;
  }

  /** Changes the size of this share even beyond the quota, for bytes that cannot be refused. */
  public void resize(long bytes) {
    long more = bytesToTake(bytes) - takenBytes;
    quota.take(more);
    takenBytes += more;
  }

  private static long bytesToTake(long bytes) {
    return Math.max(0, bytes - FREE_BYTES);
  }

  /** Gives everything back. */
  public void release() {
    quota.giveBack(takenBytes);
    takenBytes = 0;
  }
}
