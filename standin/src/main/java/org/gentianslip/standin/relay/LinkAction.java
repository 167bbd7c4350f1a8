package org.gentianslip.standin.relay;

import java.util.Locale;

/** What can be done to a link. */
public enum LinkAction {
  /** Closes all connections with a reset and new ones as they come. */
  CUT,
  /** Loses track of the open connections: their bytes are dropped for good, new ones work. */
  SILENCE_EXISTING,
  /** Holds all bytes, those of new connections too, until the link is healed. */
  SILENCE,
  /** Lets bytes and new connections pass again, and delivers what was held. */
  HEAL;

  /**
   * Returns the action with a name such as {@code silence-existing}.
   *
   * @throws IllegalArgumentException if there is none
   */
  static LinkAction parse(String name) {
    try {
      return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("action is unknown: \"" + name + "\"", e);
    }
  }
}
