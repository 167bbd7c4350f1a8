package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;

/**
 * Holds what is believed of one life of an instance.
 *
 * <p>The beats never fall and a leaving mark is never taken back. Immutable and safe for use by
 * several threads.
 *
 * @param incarnation the life
 * @param beat its last known beat
 * @param leaving whether it has announced its shutdown
 * @param doubtBeat the beat after which someone got no answer from it, or {@link #NEVER}
 * @param busyShare the used share of its capacity, from 0 to 1
 */
public record IncarnationState(
    Incarnation incarnation, long beat, boolean leaving, long doubtBeat, double busyShare) {

  /** Stands for no beat. */
  public static final long NEVER = -1;

  /** Checks the parts. */
  public IncarnationState {
    Objects.requireNonNull(incarnation);
  }

  static IncarnationState of(Heartbeat h) {
    return new IncarnationState(h.incarnation(), h.beat(), h.leaving(), NEVER, h.busyShare());
  }

  /** Returns whether someone got no answer from it and no later beat is known. */
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
