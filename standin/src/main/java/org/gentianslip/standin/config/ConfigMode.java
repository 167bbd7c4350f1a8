package org.gentianslip.standin.config;

/** The modes in which the config service answers readers. */
public enum ConfigMode {
  /** Answers with the visible values immediately. */
  UP,
  /** Answers with status 503 and closes the connections of waiting watches. */
  DOWN,
  /** Answers with the values that were visible when the mode began. */
  STALE,
  /** Answers with the visible values after a delay. */
  SLOW
}
