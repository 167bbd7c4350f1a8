package org.gentianslip.ctl;

import java.util.Locale;

/**
 * A difference in the declarations of two states of the settings. Immutable and safe for use by
 * several threads.
 *
 * @param change whether the declaration was added, removed or changed
 * @param type the type of the declaration, such as {@code "customer"}
 * @param id the id of the declaration
 */
record DeclarationChange(Change change, String type, String id) {

  /** The type of a change. Immutable and safe for use by several threads. */
  enum Change {
    ADDED,
    REMOVED,
    CHANGED;

    String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
