package org.gentianslip.standin.engine;

import java.util.Comparator;
import org.gentianslip.standin.http.HttpExchange;

/**
 * A request that the engine processes.
 *
 * <p>{@code state} is guarded by the scheduler; the rest is confined to the event loop of the
 * connection.
 */
final class Generation {

  /** Orders by descending priority, then by arrival. */
  static final Comparator<Generation> ORDER =
      Comparator.<Generation>comparingLong(g -> -g.request.priority())
          .thenComparingLong(g -> g.sequence);

  /** The state of a request in the scheduler. */
  enum State {
    WAITING,
    RUNNING,
    ENDED
  }

  final HttpExchange exchange;
  final CompletionRequest request;
  final CompletionText completion;
  final long sequence;
  State state = State.WAITING;
  long firstTokenNanos;
  int emittedTokens;

  Generation(HttpExchange exchange, CompletionRequest request, long sequence) {
    this.exchange = exchange;
    this.request = request;
    this.completion = CompletionText.forPrompt(request.prompt());
    this.sequence = sequence;
  }
}
