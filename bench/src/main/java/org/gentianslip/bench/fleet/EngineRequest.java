package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.Rank;

/**
 * A request to a simulated engine.
 *
 * <p>The methods of the listener are called at the virtual time of the event in the engine. Not
 * thread-safe.
 *
 * @param rank the rank; the engine admits and prefills urgent requests first
 * @param prefixDigest the digest of the prompt prefix
 * @param prefixTokens the length of the prefix, in tokens
 * @param promptTokens the length of the whole prompt, in tokens
 * @param answerTokens the length of the answer, in tokens
 * @param listener is notified of the progress of the request
 */
public record EngineRequest(
    Rank rank,
    long prefixDigest,
    int prefixTokens,
    int promptTokens,
    int answerTokens,
    Listener listener) {

  /** Receives the progress of a request. */
  public interface Listener {

    /** Called if the engine refuses the request, which then has not started. */
    void onRefused();

    /** Called when the engine emits the first token. */
    void onFirstToken();

    /** Called when the answer is complete. */
    void onComplete();

    /** Called if the engine fails before the answer is complete. */
    void onLost();
  }
}
