package org.gentianslip.demo;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianslip.demo.fleet.Execution;
import org.gentianslip.load.call.CallOutcome;
import org.gentianslip.load.call.CallResult;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.ExpectedAnswer;

/**
 * Compares what callers were told with what services executed.
 *
 * <p>Looks only at calls that may run at most once. Stateless and safe for use by several threads.
 */
public final class ExecutionCheck {

  private ExecutionCheck() {}

  /** Returns the calls whose outcome does not agree with their executions. */
  public static List<Mismatch> compare(
      Collection<CallResult> results, Collection<Execution> executions) {
    Map<String, Integer> counts = new HashMap<>();
    executions.forEach(execution -> counts.merge(execution.bodyDigest(), 1, Integer::sum));
    List<Mismatch> mismatches = new ArrayList<>();
    for (CallResult result : results) {
      if (result.spec().share().action() != ActionType.SERVICE_WRITE) {
        continue;
      }
      String digest = ExpectedAnswer.serviceDigest(result.spec().serviceBody());
      int count = counts.getOrDefault(digest, 0);
      if (!agrees(result.outcome(), count)) {
        mismatches.add(new Mismatch(result, count));
      }
    }
    return mismatches;
  }

  private static boolean agrees(CallOutcome outcome, int count) {
    return switch (outcome) {
      case ANSWERED -> count == 1;
      case NOT_RUN -> count == 0;
      case UNKNOWN, WRONG -> count <= 1;
    };
  }

  /**
   * A call whose outcome does not agree with its executions.
   *
   * <p>Immutable and safe for use by several threads.
   *
   * @param result what the caller was told
   * @param executions how often the call was executed
   */
  public record Mismatch(CallResult result, int executions) {

    @Override
    public String toString() {
      return result.spec().id()
          + " was told "
          + result.outcome()
          + ", but was executed "
          + executions
          + " times";
    }
  }
}
