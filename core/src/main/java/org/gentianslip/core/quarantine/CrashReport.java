package org.gentianslip.core.quarantine;

import java.util.List;
import org.gentianslip.core.id.EngineId;

/**
 * A request whose engine broke off before the answer had begun in earnest. Immutable.
 *
 * @param request the id of the request
 * @param engine the engine
 * @param parts the ids of the parts of the prompt that other requests may have, in order
 * @param prompt the id of the last part, which tells prompts apart
 * @param fingerprint the {@link RequestFingerprint}, or an empty text if it is unknown
 * @param sentNanos when the request was sent, in nanoseconds of the monotonic clock
 * @param crashedNanos when the engine broke off, in nanoseconds of the monotonic clock
 */
public record CrashReport(
    String request,
    EngineId engine,
    List<String> parts,
    String prompt,
    String fingerprint,
    long sentNanos,
    long crashedNanos) {

  /** Creates a report with a copy of the list. */
  public CrashReport {
    parts = List.copyOf(parts);
  }

  /** Returns the fingerprint, or an empty list if it is unknown. */
  List<String> knownFingerprint() {
    return fingerprint.isEmpty() ? List.of() : List.of(fingerprint);
  }
}
