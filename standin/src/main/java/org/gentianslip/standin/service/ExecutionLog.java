package org.gentianslip.standin.service;

import java.util.ArrayList;
import java.util.List;

/**
 * Records every execution, in order.
 *
 * <p>The log is bounded; a service whose log is full refuses to execute. Safe for use by several
 * threads.
 */
final class ExecutionLog {

  static final int MAX_EXECUTIONS = 200_000;

  private final List<Execution> executions = new ArrayList<>();

  /** Records an execution and returns it. */
  synchronized Execution add(String callId, String method, String path, String bodyDigest) {
    if (executions.size() >= MAX_EXECUTIONS) {
      throw new IllegalStateException("the log of executions is full: " + executions.size());
    }
    var execution = new Execution(executions.size() + 1L, callId, method, path, bodyDigest);
    executions.add(execution);
    return execution;
  }

  synchronized List<Execution> all() {
    return List.copyOf(executions);
  }
}
