package org.gentianslip.entry.platform;

/** Tells how a read of the config service ended. Immutable and safe for use by several threads. */
public sealed interface ReadResult {

  /**
   * The service has a value.
   *
   * @param revision the revision of the key
   * @param value the value
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Found(long revision, byte[] value) implements ReadResult {}

  /** The service has nothing newer. */
  record Unchanged() implements ReadResult {}

  /**
   * The service gave no answer that can be used.
   *
   * @param reason why
   */
  record Unavailable(String reason) implements ReadResult {}
}
