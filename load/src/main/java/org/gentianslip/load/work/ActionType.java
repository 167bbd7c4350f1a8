package org.gentianslip.load.work;

/** Tells what a call does at a backend server. Immutable and safe for use by several threads. */
public enum ActionType {
  /** A chat completion that streams. */
  CHAT_STREAM,
  /** A chat completion that is answered whole. */
  CHAT_WHOLE,
  /** A completion that streams. */
  COMPLETION_STREAM,
  /** A service call that may be repeated. */
  SERVICE_READ,
  /** A service call that may run at most once. */
  SERVICE_WRITE;

  /** Tells whether a model engine answers the call. */
  public boolean isModel() {
    return this != SERVICE_READ && this != SERVICE_WRITE;
  }

  /** Tells whether the answer arrives by server-sent events. */
  public boolean isStream() {
    return this == CHAT_STREAM || this == COMPLETION_STREAM;
  }
}
