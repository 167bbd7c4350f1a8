package org.gentianslip.settings;

/**
 * Tells for what a value holds, and so in which branches it may be set.
 *
 * <p>Immutable and safe for use by several threads.
 */
public enum SettingReach {
  /** The value may differ from request to request; any branch may set it. */
  REQUEST,
  /** The value holds for all work of a customer; branches of kinds may not set it. */
  CUSTOMER,
  /** The value holds for a whole instance; only branches of firms and regions may set it. */
  INSTANCE;

  /** Returns whether branches below one of the given level may set such a value. */
  boolean allows(BranchLevel level) {
    return switch (level) {
      case FIRM, REGION -> true;
      case KIND -> this == REQUEST;
      case CUSTOMER -> this != INSTANCE;
    };
  }

  /** Returns a phrase such as {@code "a whole instance"}. */
  String phrase() {
    return switch (this) {
      case REQUEST -> "a request";
      case CUSTOMER -> "all work of a customer";
      case INSTANCE -> "a whole instance";
    };
  }

  /** Returns the levels of the branches that may set such a value, as a phrase. */
  String allowedBranches() {
    return switch (this) {
      case REQUEST -> "any branch";
      case CUSTOMER -> "branches of firms, regions and customers";
      case INSTANCE -> "branches of firms and regions";
    };
  }
}
