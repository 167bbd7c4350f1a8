package org.gentianslip.entry.model;

import org.gentianslip.core.outcome.Outcome;

/** Hears how attempts at a request end. Implementations are thread-safe. */
interface AttemptEnds {

  /** Tells that a request no longer takes a place at an engine. */
  void engineFreed(ModelExchange exchange);

  /** Tells that an attempt ended and the caller has seen nothing of an answer. */
  void failed(long nowNanos, ModelExchange exchange, Outcome outcome);
}
