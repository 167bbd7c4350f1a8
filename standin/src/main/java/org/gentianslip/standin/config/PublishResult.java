package org.gentianslip.standin.config;

/** What came of publishing. */
public sealed interface PublishResult {

  /**
   * All is published. Immutable.
   *
   * @param revision the new revision
   */
  record Published(long revision) implements PublishResult {}

  /**
   * Another operator was faster; nothing is published. Immutable.
   *
   * @param revision the revision in force, which is not the expected one
   */
  record Conflict(long revision) implements PublishResult {}

  /**
   * A value is too large; nothing is published. Immutable.
   *
   * @param key the key of the value
   * @param bytes its size in bytes
   */
  record TooLarge(String key, int bytes) implements PublishResult {}
}
