package org.gentianslip.load.call;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.work.CallSpec;

/**
 * Tracks the attempts of one call at several entries.
 *
 * <p>An entry that refused the call is chosen again only if every entry has refused it. Not
 * thread-safe.
 */
final class CallProgress {

  private final CallSpec spec;
  private final RegionId region;
  private final long dueNanos;
  private final Set<InstanceId> refusedBy = new HashSet<>();
  private int refusals;

  CallProgress(CallSpec spec, RegionId region, long dueNanos) {
    this.spec = spec;
    this.region = region;
    this.dueNanos = dueNanos;
  }

  EntryAddress chooseEntry(List<EntryAddress> entries) {
    for (EntryAddress entry : entries) {
      if (!refusedBy.contains(entry.id())) {
        return entry;
      }
    }
    return entries.get(0);
  }

  void recordRefusal(EntryAddress entry) {
    refusedBy.add(entry.id());
    refusals++;
  }

  CallResult result(Reply reply, EntryAddress entry) {
    if (reply instanceof Reply.Answered answered) {
      boolean expected = EntryCaller.isExpectedAnswer(spec, answered.text());
      String servedRegion = answered.servedRegion();
      boolean forwarded = !servedRegion.isEmpty() && !servedRegion.equals(entry.region().value());
      return expected
          ? result(CallOutcome.ANSWERED, "", "", forwarded, answered.timing())
          : result(CallOutcome.WRONG, "wrong_answer", mismatch(answered.text()), forwarded, null);
    }
    if (reply instanceof Reply.NotRun notRun) {
      return result(CallOutcome.NOT_RUN, notRun.code(), notRun.detail(), false, null);
    }
    if (reply instanceof Reply.Unknown unknown) {
      return result(CallOutcome.UNKNOWN, unknown.code(), unknown.detail(), false, null);
    }
    return result(
        CallOutcome.NOT_RUN,
        "ticket_required",
        "the entry required a ticket again after the call was sent with the offered one",
        false,
        null);
  }

  private CallResult result(
      CallOutcome outcome, String code, String detail, boolean forwarded, AnswerTiming timing) {
    return new CallResult(
        spec, region, outcome, code, detail, forwarded, refusals, dueNanos, timing);
  }

  private static String mismatch(String text) {
    return "the answer of " + text.length() + " characters is not the expected answer to this call";
  }
}
