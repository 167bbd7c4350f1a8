package org.gentianslip.standin.engine;

import java.util.Comparator;
import org.gentianslip.standin.http.HttpCall;

/**
 * A request on its way through the engine.
 *
 * <p>{@code state} is guarded by the batch; the rest is confined to the event loop of the call.
 */
final class Generation {

  /** Greater priorities first, then in the order of arrival. */
  static final Comparator<Generation> ORDER =
      Comparator.<Generation>comparingLong(g -> -g.request.priority())
          .thenComparingLong(g -> g.sequence);

  /** Where a request is. */
  enum State {
    WAITING,
    RUNNING,
    ENDED
  }

  final HttpCall call;
  final CompletionRequest request;
  final AnswerText answer;
  final long sequence;
  State state = State.WAITING;
  long firstTokenNanos;
  int emitted;

  Generation(HttpCall call, CompletionRequest request, long sequence) {
    this.call = call;
    this.request = request;
    this.answer = AnswerText.to(request.prompt());
    this.sequence = sequence;
  }
}
