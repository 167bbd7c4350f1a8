package org.gentianslip.entry.configservice;

/**
 * An instance in the instance list.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the instance
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param callerAddress the address for callers, as {@code IP:PORT}
 * @param peerAddress the address for peers, as {@code IP:PORT}
 * @param operatorAddress the address for operators, as {@code IP:PORT}
 * @param state {@code live} or {@code leaving}
 */
public record InstanceRecord(
    String id,
    String region,
    String dataCentre,
    String callerAddress,
    String peerAddress,
    String operatorAddress,
    String state) {

  /** Returns whether the list marks the instance as live. */
  public boolean live() {
    return "live".equals(state);
  }
}
