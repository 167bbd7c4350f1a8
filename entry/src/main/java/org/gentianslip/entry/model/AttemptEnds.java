package org.gentianslip.entry.model;

import org.gentianslip.core.outcome.Outcome;

/** Receives the ends of attempts at model requests. Implementations are thread-safe. */
interface AttemptEnds {

  /** Called when a request no longer occupies an engine. */
  void engineFreed(ModelExchange exchange);

  /** Called when an attempt failed before the caller received any part of a response. */
  void failed(long nowNanos, ModelExchange exchange, Outcome outcome);
}
