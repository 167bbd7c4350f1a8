package org.gentianslip.entry.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The call that asks an engine for its report.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 */
public interface EngineReports {

  /** Returns the path and the query of the call. */
  String target();

  /**
   * Returns the ids of the requests that an engine runs or has queued; empty if an answer is no
   * report, as from an engine that lacks the call.
   */
  Optional<Set<String>> runs(int status, byte[] body);

  /**
   * Returns when the engine says that it started, in Unix milliseconds; empty if an answer is no
   * report or doesn't say so.
   */
  OptionalLong startedMillis(int status, byte[] body);
}
