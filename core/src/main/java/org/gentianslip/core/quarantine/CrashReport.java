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
 * @param sentNanos when the request was sent, in nanoseconds of the monotonic clock
 * @param crashedNanos when the engine broke off, in nanoseconds of the monotonic clock
 */
public record CrashReport(
    String request,
    EngineId engine,
    List<String> parts,
    String prompt,
    long sentNanos,
    long crashedNanos) {

  /** Creates a report with a copy of the list. */
  public CrashReport {
    parts = List.copyOf(parts);
  }
}
