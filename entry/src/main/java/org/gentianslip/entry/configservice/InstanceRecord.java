package org.gentianslip.entry.configservice;

/**
 * Describes an instance as the platform lists it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the instance
 * @param region its region
 * @param dataCentre its data centre
 * @param callerAddress its caller port as {@code IP:PORT}
 * @param peerAddress its peer port as {@code IP:PORT}
 * @param operatorAddress its operator port as {@code IP:PORT}
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
