package org.gentianslip.core.fleet;

/**
 * Confirms the changes that an instance has received from another one. Immutable.
 *
 * @param incarnation the incarnation of the instance that numbered the changes
 * @param number the number up to which all changes were received
 */
public record SyncAck(long incarnation, long number) {

  /** Confirms nothing. */
  public static final SyncAck NONE = new SyncAck(0, 0);
}
