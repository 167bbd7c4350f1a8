package org.gentianslip.entry.configservice;

/** The result of a read from the config service. Immutable and safe for use by several threads. */
public sealed interface ConfigReadResult {

  /**
   * The service returned a value.
   *
   * @param revision the revision of the value
   * @param value the value
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Found(long revision, byte[] value) implements ConfigReadResult {}

  /** The service has no value, or none with a later revision. */
  record Unchanged() implements ConfigReadResult {}

  /**
   * The service returned no usable response.
   *
   * @param reason a description of the failure, with the service as its subject
   */
  record Unavailable(String reason) implements ConfigReadResult {}
}
