package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;

/**
 * The believed state of one incarnation of an instance.
 *
 * <p>The beat never decreases, and once {@code leaving} is set it stays set. Immutable and
 * thread-safe.
 *
 * @param incarnation the incarnation
 * @param beat its last known beat
 * @param leaving whether it has announced its shutdown
 * @param doubtBeat the beat after which an instance got no answer from it, or {@link #NEVER}
 * @param busyShare the share of its capacity that is in use, from 0 to 1
 */
public record IncarnationState(
    Incarnation incarnation, long beat, boolean leaving, long doubtBeat, double busyShare) {

  /** The value of {@code doubtBeat} if the instance has always answered. */
  public static final long NEVER = -1;

  /** Validates the components. */
  public IncarnationState {
    Objects.requireNonNull(incarnation);
  }

  static IncarnationState of(Heartbeat h) {
    return new IncarnationState(h.incarnation(), h.beat(), h.leaving(), NEVER, h.busyShare());
  }

  /** Returns whether an instance got no answer from it and no later beat is known. */
  public boolean isDoubted() {
    return doubtBeat >= beat;
  }

  IncarnationState with(Heartbeat h) {
    double share = h.beat() > beat ? h.busyShare() : busyShare;
    return new IncarnationState(
        incarnation, Math.max(beat, h.beat()), leaving || h.leaving(), doubtBeat, share);
  }

  IncarnationState with(Hint hint) {
    boolean left = leaving || hint.kind() == Hint.Kind.LEAVING;
    long doubt = hint.kind() == Hint.Kind.SILENT ? Math.max(doubtBeat, hint.beat()) : doubtBeat;
    return new IncarnationState(incarnation, Math.max(beat, hint.beat()), left, doubt, busyShare);
  }

  IncarnationState doubted() {
    return new IncarnationState(incarnation, beat, leaving, Math.max(doubtBeat, beat), busyShare);
  }
}
