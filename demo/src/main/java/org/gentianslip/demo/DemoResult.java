package org.gentianslip.demo;

import java.util.ArrayList;
import java.util.List;
import org.gentianslip.load.call.CallOutcome;
import org.gentianslip.load.report.LoadReport;

/**
 * The figures of a demo run.
 *
 * <p>A call whose executions do not agree with its outcome counts as wrong. Immutable and safe for
 * use by several threads.
 *
 * @param report the callers' figures
 * @param answered the number of calls answered whole and executed as told
 * @param notRun the number of calls that truly did not run
 * @param unknown the number of calls of unknown outcome
 * @param wrong the number of wrong answers and of calls not executed as told
 * @param faults a sentence on each fault
 */
record DemoResult(
    LoadReport report, long answered, long notRun, long unknown, long wrong, List<String> faults) {

  DemoResult {
    faults = List.copyOf(faults);
  }

  static DemoResult of(LoadReport report, List<ExecutionCheck.Mismatch> mismatches) {
    List<String> faults = new ArrayList<>(report.faults());
    mismatches.forEach(mismatch -> faults.add(mismatch.toString()));
    long wrongBefore = count(mismatches, CallOutcome.WRONG);
    return new DemoResult(
        report,
        report.answered() - count(mismatches, CallOutcome.ANSWERED),
        report.notRun() - count(mismatches, CallOutcome.NOT_RUN),
        report.unknown() - count(mismatches, CallOutcome.UNKNOWN),
        report.wrong() + mismatches.size() - wrongBefore,
        faults);
  }

  boolean isGood() {
    return unknown == 0 && wrong == 0;
  }

  String lastLine() {
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

  private static long count(List<ExecutionCheck.Mismatch> mismatches, CallOutcome outcome) {
    return mismatches.stream().filter(m -> m.result().outcome() == outcome).count();
  }
}
