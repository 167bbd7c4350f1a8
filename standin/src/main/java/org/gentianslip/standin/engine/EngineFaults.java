package org.gentianslip.standin.engine;

/**
 * The faults of an engine. Immutable.
 *
 * @param cutAfterTokens the token after which answers are cut by closing the connection, or -1
 * @param stallAfterTokens the token after which answers go silent for good, or -1
 */
public record EngineFaults(int cutAfterTokens, int stallAfterTokens) {

  /** No faults. */
  public static final EngineFaults NONE = new EngineFaults(-1, -1);
}
