package org.gentianslip.core.stream;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.SoftwareVersion;

/**
 * Decides at which version of the software of backend servers a request may go on with a stream.
 *
 * <p>Changes no state. Thread-safe.
 */
public final class TakeUpRule {

  /** The age of the published state from which versions may exist that are not known. */
  static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

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
   * @param ageNanos the time since the published state was last confirmed, in nanoseconds
   */
  public TakeUp decide(long nowNanos, TakeUpClaim claim, long ageNanos) {
    if (claim.stated()) {
      return known(claim.statedVersion(), TakeUp.Reason.STATED).orElseGet(TakeUp.Unknown::new);
    }
    if (!claim.takesUp()) {
      return new TakeUp.Fresh();
    }
    return known(recorded(claim), TakeUp.Reason.RECORDED)
        .or(() -> known(onlyVersion(nowNanos, claim, ageNanos), TakeUp.Reason.ONLY_VERSION))
        .orElseGet(TakeUp.Unknown::new);
  }

  private static Optional<TakeUp> known(Optional<SoftwareVersion> version, TakeUp.Reason reason) {
    return version.map(v -> new TakeUp.AtVersion(v, reason));
  }

  private Optional<SoftwareVersion> recorded(TakeUpClaim claim) {
    return claim.resumed().size() == 1
        ? origins.versionOf(claim.resumed().get(0))
        : Optional.empty();
  }

  private Optional<SoftwareVersion> onlyVersion(long nowNanos, TakeUpClaim claim, long ageNanos) {
    return ageNanos <= MAX_AGE_NANOS
        ? history.soleVersion(claim.service(), nowNanos, claim.streamNanos() + MAX_AGE_NANOS)
        : Optional.empty();
  }
}
