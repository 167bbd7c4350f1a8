package org.gentianslip.load.work;

/** The operation that a call requests from a backend server. Immutable and thread-safe. */
public enum ActionType {
  /** A chat completion with a streamed answer. */
  CHAT_STREAM,
  /** A chat completion with an answer in one part. */
  CHAT_WHOLE,
  /** A completion with a streamed answer. */
  COMPLETION_STREAM,
  /** A service call that is safe to repeat. */
  SERVICE_READ,
  /** A service call that must run at most once. */
  SERVICE_WRITE;

  /** Returns whether a model engine serves the call. */
  public boolean isModel() {
    return this != SERVICE_READ && this != SERVICE_WRITE;
  }

  /** Returns whether the answer is streamed as server-sent events. */
  public boolean isStream() {
    return this == CHAT_STREAM || this == COMPLETION_STREAM;
  }
}
