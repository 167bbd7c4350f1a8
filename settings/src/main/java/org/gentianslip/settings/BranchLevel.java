package org.gentianslip.settings;

import java.util.Locale;
import java.util.Optional;

/**
 * The attribute of requests that a branch matches.
 *
 * <p>Branches of equal depth apply in the order of these constants. Immutable and safe for use by
 * several threads.
 */
public enum BranchLevel {
  /** The firm that the customer belongs to. */
  FIRM,
  /** The region of the instance that received the request. */
  REGION,
  /** The kind of work. */
  KIND,
  /** The customer that the caller acts for. */
  CUSTOMER;

  /** Returns the name that documents use. */
  public String jsonName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the level with the given name in documents. */
  static Optional<BranchLevel> find(String jsonName) {
    for (BranchLevel level : values()) {
      if (level.jsonName().equals(jsonName)) {
        return Optional.of(level);
      }
    }
    return Optional.empty();
  }
}
