package org.gentianslip.standin.config;

/** The ways in which the config service answers readers. */
public enum ConfigMode {
  /** Answers with the visible values at once. */
  UP,
  /** Answers 503 and drops waiting watches. */
  DOWN,
  /** Answers with the values that were visible when the mode began. */
  STALE,
  /** Answers with the visible values after a delay. */
  SLOW
}
