package org.gentianslip.core.stream;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.SoftwareVersion;

/**
 * Decides at which version of the software of backend servers a request may go on with a stream.
 *
 * <p>A stream that a request takes up began before the request was received, at a server that was
 * published before. So an unknown stream began at the only version of a service only if all changes
 * up to the receipt of the request are known, whatever the age of the published state.
 *
 * <p>Changes no state. Thread-safe.
 */
public final class TakeUpRule {

  /** How much longer than a stream a service must have had one version only. */
  static final long MARGIN_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final StreamOrigins origins;
  private final VersionHistory history;

  /** Creates a rule that uses what is known of streams and of the versions of services. */
  public TakeUpRule(StreamOrigins origins, VersionHistory history) {
    this.origins = origins;
    this.history = history;
  }

  /**
   * Decides about a request.
   *
   * @param completeNanos a time before which no change was published that is not known, in
   *     nanoseconds of the monotonic clock
   */
  public TakeUp decide(long nowNanos, TakeUpClaim claim, long completeNanos) {
    if (claim.stated()) {
      return known(claim.statedVersion(), TakeUp.Reason.STATED).orElseGet(TakeUp.Unknown::new);
    }
    if (!claim.takesUp()) {
      return new TakeUp.Fresh();
    }
    return known(recorded(claim), TakeUp.Reason.RECORDED)
        .orElseGet(() -> decideByHistory(nowNanos, claim, completeNanos));
  }

  private TakeUp decideByHistory(long nowNanos, TakeUpClaim claim, long completeNanos) {
    Optional<SoftwareVersion> version =
        history.soleVersion(claim.service(), nowNanos, claim.streamNanos() + MARGIN_NANOS);
    if (version.isPresent() && completeNanos - claim.receivedNanos() < 0) {
      return new TakeUp.Unconfirmed();
    }
    return known(version, TakeUp.Reason.ONLY_VERSION).orElseGet(TakeUp.Unknown::new);
  }

  private static Optional<TakeUp> known(Optional<SoftwareVersion> version, TakeUp.Reason reason) {
    return version.map(v -> new TakeUp.AtVersion(v, reason));
  }

  private Optional<SoftwareVersion> recorded(TakeUpClaim claim) {
    return claim.resumed().size() == 1
        ? origins.versionOf(claim.resumed().get(0))
        : Optional.empty();
  }
}
