package org.gentianslip.standin.engine;

/**
 * The injected faults of an engine. Immutable.
 *
 * @param cutAfterTokens the number of tokens after which the connection is closed, or -1 for never
 * @param stallAfterTokens the number of tokens after which no more are sent, or -1 for never
 */
public record EngineFaults(int cutAfterTokens, int stallAfterTokens) {

  /** No faults. */
  public static final EngineFaults NONE = new EngineFaults(-1, -1);
}
