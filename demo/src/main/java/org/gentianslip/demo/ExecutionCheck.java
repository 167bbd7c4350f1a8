package org.gentianslip.demo;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianslip.demo.fleet.ServiceExecution;
import org.gentianslip.load.call.CallOutcome;
import org.gentianslip.load.call.CallResult;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.ExpectedAnswer;

/**
 * Compares the outcomes reported to callers with the executions recorded by services.
 *
 * <p>Checks only calls that must run at most once. Stateless and thread-safe.
 */
public final class ExecutionCheck {

  private ExecutionCheck() {}

  /** Returns the calls whose number of executions contradicts their outcome. */
  public static List<Mismatch> compare(
      Collection<CallResult> results, Collection<ServiceExecution> executions) {
    Map<String, Integer> countsByDigest = new HashMap<>();
    executions.forEach(execution -> countsByDigest.merge(execution.bodyDigest(), 1, Integer::sum));
    List<Mismatch> mismatches = new ArrayList<>();
    for (CallResult result : results) {
      if (result.spec().share().action() != ActionType.SERVICE_WRITE) {
        continue;
      }
      String digest = ExpectedAnswer.serviceDigest(result.spec().serviceBody());
      int executionCount = countsByDigest.getOrDefault(digest, 0);
      if (!isConsistent(result.outcome(), executionCount)) {
        mismatches.add(new Mismatch(result, executionCount));
      }
    }
    return mismatches;
  }

  private static boolean isConsistent(CallOutcome outcome, int executionCount) {
    return switch (outcome) {
      case ANSWERED -> executionCount == 1;
      case NOT_RUN -> executionCount == 0;
      case UNKNOWN, WRONG -> executionCount <= 1;
    };
  }

  /**
   * A call whose number of executions contradicts its outcome.
   *
   * <p>Immutable and thread-safe.
   *
   * @param result the result of the call as its caller saw it
   * @param executions the number of times that the call was executed
   */
  public record Mismatch(CallResult result, int executions) {

    @Override
    public String toString() {
      return result.spec().id()
          + " was reported as "
          + result.outcome()
          + ", but was executed "
          + executions
          + " times";
    }
  }
}
