package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;

/**
 * Logs and counts the calls for the reports of engines, with what was published of the engine. Safe
 * for use by several threads.
 */
final class ReportLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final Gateway gateway;

  ReportLog(Gateway gateway) {
    this.gateway = gateway;
  }

  /**
   * Records a call that has ended.
   *
   * @param sentNanos when the call began, in nanoseconds of the monotonic clock
   * @param backend the engine that was asked, as it was published then
   * @param status the status that was received, or 0
   * @param result what was seen, a constant of this program
   */
  void record(
      long nowNanos,
      long sentNanos,
      String id,
      ReportPurpose purpose,
      Backend backend,
      int status,
      String result) {
    gateway.metrics().countReportCall(purpose.label(), result);
    PublishedState state = gateway.state().published();
    LOGGER.atInfo().log(
        "gateway: event=report-call id=%s purpose=%s backend=%s service=%s engines=%s address=%s"
            + " started=%s listed=%s list-age=%s revision=%s status=%s result=%s millis=%s",
        id,
        purpose.label(),
        backend.id(),
        backend.service(),
        BackendRegistry.isEngine(state, backend),
        backend.address(),
        backend.startedMillis(),
        listing(state, backend),
        TimeUnit.NANOSECONDS.toMillis(gateway.state().confirmationAgeNanos(nowNanos)),
        state.revision(),
        status,
        result,
        TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos));
  }

  /** Returns what is published of a backend server now, compared with when it was asked. */
  private static String listing(PublishedState state, Backend asked) {
    Backend now = state.backends().get(asked.id());
    if (now == null) {
      return "gone";
    }
    if (!now.address().equals(asked.address())) {
      return "moved";
    }
    if (!now.isSameStart(asked)) {
      return "started-again";
    }
    return now.leaving() ? "leaving" : "unchanged";
  }
}
