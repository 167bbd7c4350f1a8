package org.gentianslip.load.call;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.work.CallSpec;

/**
 * The way of one call from entry to entry.
 *
 * <p>An entry that refused is chosen again only if there is no other. Used by one thread.
 */
final class Progress {

  private final CallSpec spec;
  private final RegionId region;
  private final long dueNanos;
  private final Set<InstanceId> refusedBy = new HashSet<>();
  private int refusals;

  Progress(CallSpec spec, RegionId region, long dueNanos) {
    this.spec = spec;
    this.region = region;
    this.dueNanos = dueNanos;
  }

  EntryAddress choose(List<EntryAddress> entries) {
    for (EntryAddress entry : entries) {
      if (!refusedBy.contains(entry.id())) {
        return entry;
      }
    }
    return entries.get(0);
  }

  void refused(EntryAddress entry) {
    refusedBy.add(entry.id());
    refusals++;
  }

  CallResult result(Reply reply, EntryAddress entry) {
    if (reply instanceof Reply.Answered answered) {
      boolean own = EntryCaller.isOwnAnswer(spec, answered.text());
      String served = answered.servedRegion();
      boolean away = !served.isEmpty() && !served.equals(entry.region().value());
      return own
          ? result(Outcome.ANSWERED, "", "", away, answered.timing())
          : result(Outcome.WRONG, "wrong_answer", mismatch(answered.text()), away, null);
    }
    if (reply instanceof Reply.NotRun notRun) {
      return result(Outcome.NOT_RUN, notRun.code(), notRun.detail(), false, null);
    }
    if (reply instanceof Reply.Unknown unknown) {
      return result(Outcome.UNKNOWN, unknown.code(), unknown.detail(), false, null);
    }
    return result(Outcome.NOT_RUN, "ticket_required", "a ticket was refused", false, null);
  }

  private CallResult result(
      Outcome outcome, String code, String detail, boolean away, Timing timing) {
    return new CallResult(spec, region, outcome, code, detail, away, refusals, dueNanos, timing);
  }

  private static String mismatch(String text) {
    return "the answer of " + text.length() + " characters is not this call's";
  }
}
