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
 * @param suspectedBeat the beat after which an instance got no answer from it, or {@link #NO_BEAT}
 * @param busyShare the share of its capacity that is in use, from 0 to 1
 */
public record IncarnationState(
    Incarnation incarnation, long beat, boolean leaving, long suspectedBeat, double busyShare) {

  /** The value of {@code suspectedBeat} if the instance has always answered. */
  public static final long NO_BEAT = -1;

  /** Validates the components. */
  public IncarnationState {
    Objects.requireNonNull(incarnation);
  }

  static IncarnationState of(Heartbeat h) {
    return new IncarnationState(h.incarnation(), h.beat(), h.leaving(), NO_BEAT, h.busyShare());
  }

  /** Returns whether an instance got no answer from it and no later beat is known. */
  public boolean isSuspected() {
    return suspectedBeat >= beat;
  }

  IncarnationState with(Heartbeat h) {
    double newBusyShare = h.beat() > beat ? h.busyShare() : busyShare;
    return new IncarnationState(
        incarnation, Math.max(beat, h.beat()), leaving || h.leaving(), suspectedBeat, newBusyShare);
  }

  IncarnationState with(Hint hint) {
    boolean newLeaving = leaving || hint.kind() == Hint.Kind.LEAVING;
    long newSuspectedBeat =
        hint.kind() == Hint.Kind.SILENT ? Math.max(suspectedBeat, hint.beat()) : suspectedBeat;
    return new IncarnationState(
        incarnation, Math.max(beat, hint.beat()), newLeaving, newSuspectedBeat, busyShare);
  }

  IncarnationState suspected() {
    return new IncarnationState(
        incarnation, beat, leaving, Math.max(suspectedBeat, beat), busyShare);
  }
}
