package org.gentianslip.entry.model;

import org.gentianslip.core.outcome.Outcome;

/** Is notified when attempts at model requests end. Implementations are thread-safe. */
interface AttemptListener {

  /** Called when a request no longer occupies an engine. */
  void engineReleased(ModelExchange exchange);

  /** Called when an attempt failed before the caller received any part of a response. */
  void attemptFailed(long nowNanos, ModelExchange exchange, Outcome outcome);
}
