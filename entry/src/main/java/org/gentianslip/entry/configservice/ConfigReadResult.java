package org.gentianslip.entry.configservice;

/** Tells how a read of the config service ended. Immutable and safe for use by several threads. */
public sealed interface ConfigReadResult {

  /**
   * The service has a value.
   *
   * @param revision the revision of the key
   * @param value the value
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Found(long revision, byte[] value) implements ConfigReadResult {}

  /** The service has nothing newer. */
  record Unchanged() implements ConfigReadResult {}

  /**
   * The service gave no answer that can be used.
   *
   * @param reason why
   */
  record Unavailable(String reason) implements ConfigReadResult {}
}
