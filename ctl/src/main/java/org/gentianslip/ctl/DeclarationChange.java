package org.gentianslip.ctl;

import java.util.Locale;

/**
 * Tells how a declaration changes. Immutable and safe for use by several threads.
 *
 * @param change whether it was added, removed or changed
 * @param type what is declared, such as {@code "customer"}
 * @param id the id
 */
record DeclarationChange(Change change, String type, String id) {

  /** Names the ways in which a declaration changes. Immutable and safe for several threads. */
  enum Change {
    ADDED,
    REMOVED,
    CHANGED;

    String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
