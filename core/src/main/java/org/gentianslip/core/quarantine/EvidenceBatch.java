package org.gentianslip.core.quarantine;

import java.util.List;

/**
 * Evidence to send to another instance. Immutable.
 *
 * @param crashes the crashes
 * @param completions the completions
 * @param number the number up to which the evidence of the sender is complete
 */
public record EvidenceBatch(
    List<CrashReport> crashes, List<CompletionReport> completions, long number) {

  /** Creates a batch with copies of the lists. */
  public EvidenceBatch {
    crashes = List.copyOf(crashes);
    completions = List.copyOf(completions);
  }
}
