package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.Rank;

/**
 * Describes a request to a fake engine and hears of its progress.
 *
 * <p>The listener's methods are called in virtual time at the engine. For one thread.
 *
 * @param rank the rank; urgent requests go first in the engine
 * @param prefix the digest of the prefix
 * @param prefixTokens the length of the prefix, in tokens
 * @param promptTokens the length of the whole prompt, in tokens
 * @param answerTokens the length of the answer, in tokens
 * @param listener hears of the progress
 */
public record EngineJob(
    Rank rank,
    long prefix,
    int prefixTokens,
    int promptTokens,
    int answerTokens,
    Listener listener) {

  /** Hears of the progress of a request. */
  public interface Listener {

    /** The engine refused the request before it started. */
    void onRefused();

    /** The first token is out. */
    void onFirstToken();

    /** The answer is whole. */
    void onDone();

    /** The engine failed. */
    void onLost();
  }
}
