package org.gentianslip.demo;

import java.util.ArrayList;
import java.util.List;
import org.gentianslip.load.call.CallOutcome;
import org.gentianslip.load.report.LoadReport;

/**
 * The result of a demo run.
 *
 * <p>A call whose number of executions contradicts its outcome counts as wrong. Immutable and
 * thread-safe.
 *
 * @param report the report of the callers
 * @param answered the number of calls that got their complete answer and were executed accordingly
 * @param notRun the number of calls that were reported as not run and were not executed
 * @param unknown the number of calls whose outcome is unknown
 * @param wrong the number of wrong answers and of calls whose executions contradict their outcome
 * @param faults a description of each fault
 */
record DemoResult(
    LoadReport report, long answered, long notRun, long unknown, long wrong, List<String> faults) {

  DemoResult {
    faults = List.copyOf(faults);
  }

  static DemoResult of(LoadReport report, List<ExecutionCheck.Mismatch> mismatches) {
    List<String> faults = new ArrayList<>(report.faults());
    mismatches.forEach(mismatch -> faults.add(mismatch.toString()));
    long alreadyWrong = countByOutcome(mismatches, CallOutcome.WRONG);
    return new DemoResult(
        report,
        report.answered() - countByOutcome(mismatches, CallOutcome.ANSWERED),
        report.notRun() - countByOutcome(mismatches, CallOutcome.NOT_RUN),
        report.unknown() - countByOutcome(mismatches, CallOutcome.UNKNOWN),
        report.wrong() + mismatches.size() - alreadyWrong,
        faults);
  }

  boolean isSuccessful() {
    return unknown == 0 && wrong == 0;
  }

  String summaryLine() {
    return "demo: "
        + report.sent()
        + " sent, "
        + answered
        + " answered, "
        + notRun
        + " not run, "
        + unknown
        + " unknown, "
        + wrong
        + " wrong";
  }

  private static long countByOutcome(
      List<ExecutionCheck.Mismatch> mismatches, CallOutcome outcome) {
    return mismatches.stream().filter(mismatch -> mismatch.result().outcome() == outcome).count();
  }
}
