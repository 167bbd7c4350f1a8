package org.gentianslip.standin.config;

/** The result of publishing. */
public sealed interface PublishResult {

  /**
   * All values are published. Immutable.
   *
   * @param revision the new revision
   */
  record Published(long revision) implements PublishResult {}

  /**
   * Another revision than the expected one is in force; nothing is published. Immutable.
   *
   * @param revision the revision in force
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
