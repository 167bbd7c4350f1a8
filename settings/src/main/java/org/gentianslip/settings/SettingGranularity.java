package org.gentianslip.settings;

/**
 * The granularity at which a value may differ, which decides the branches that may set it.
 *
 * <p>Immutable and safe for use by several threads.
 */
public enum SettingGranularity {
  /** The value may differ between requests; any branch may set it. */
  REQUEST,
  /** The value applies to all work of a customer; branches of kinds may not set it. */
  CUSTOMER,
  /** The value applies to a whole instance; only branches of firms and regions may set it. */
  INSTANCE;

  /** Returns whether a branch may set such a value if its path from the firm has the level. */
  boolean allows(BranchLevel level) {
    return switch (level) {
      case FIRM, REGION -> true;
      case KIND -> this == REQUEST;
      case CUSTOMER -> this != INSTANCE;
    };
  }

  /** Returns what a value applies to, as a phrase such as {@code "a whole instance"}. */
  String subjectPhrase() {
    return switch (this) {
      case REQUEST -> "a request";
      case CUSTOMER -> "all work of a customer";
      case INSTANCE -> "a whole instance";
    };
  }

  /** Returns the levels of the branches that may set such a value, as a phrase. */
  String allowedBranchesPhrase() {
    return switch (this) {
      case REQUEST -> "any branch";
      case CUSTOMER -> "branches of firms, regions and customers";
      case INSTANCE -> "branches of firms and regions";
    };
  }
}
