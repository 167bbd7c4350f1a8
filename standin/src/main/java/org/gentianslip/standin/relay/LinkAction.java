package org.gentianslip.standin.relay;

import java.util.Locale;

/** The actions that operators can apply to a link. */
public enum LinkAction {
  /** Resets all open connections, and new ones as soon as they open. */
  CUT,
  /** Discards all further bytes of the open connections; new connections work. */
  SILENCE_EXISTING,
  /** Holds the bytes of all connections, including new ones, until the link is healed. */
  SILENCE,
  /** Ends a cut or a silence and delivers the held bytes. */
  HEAL;

  /**
   * Returns the action with a name such as {@code silence-existing}.
   *
   * @throws IllegalArgumentException if there is no such action
   */
  static LinkAction parse(String name) {
    try {
      return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("unknown action: \"" + name + "\"", e);
    }
  }
}
