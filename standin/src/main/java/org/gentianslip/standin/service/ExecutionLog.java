package org.gentianslip.standin.service;

import java.util.ArrayList;
import java.util.List;

/** A bounded log of all executions, in order. Safe for use by several threads. */
final class ExecutionLog {

  static final int MAX_EXECUTIONS = 200_000;

  private final List<RecordedExecution> executions = new ArrayList<>();

  /** Records an execution and returns it, or fails if the log is full. */
  synchronized RecordedExecution add(String callId, String method, String path, String bodyDigest) {
    if (executions.size() >= MAX_EXECUTIONS) {
      throw new IllegalStateException("the execution log is full: " + executions.size());
    }
    var execution = new RecordedExecution(executions.size() + 1L, callId, method, path, bodyDigest);
    executions.add(execution);
    return execution;
  }

  synchronized List<RecordedExecution> all() {
    return List.copyOf(executions);
  }
}
