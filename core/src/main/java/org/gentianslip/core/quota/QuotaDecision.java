package org.gentianslip.core.quota;

/** The decision whether a request is within the quota of its customer. */
public sealed interface QuotaDecision {

  /**
   * The request may be run.
   *
   * @param grant what was counted for it, to be returned if the request is not run
   */
  record Admitted(QuotaGrant grant) implements QuotaDecision {}

  /**
   * The request must be refused.
   *
   * @param reason {@link #OVER_QUOTA} or {@link #OVER_SHARE}
   * @param retryAfterMillis when the request is expected to be within the quota
   * @param state the inputs of the decision
   */
  record Refused(String reason, long retryAfterMillis, QuotaState state) implements QuotaDecision {}

  /** The reason if all instances together have used the quota. */
  String OVER_QUOTA = "over-quota";

  /** The reason if this instance has used its share, as far as others know its demand. */
  String OVER_SHARE = "over-quota-share";
}
