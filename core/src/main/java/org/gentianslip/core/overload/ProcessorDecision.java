package org.gentianslip.core.overload;

/** Whether the processor of this instance can serve a request in time. Immutable. */
public sealed interface ProcessorDecision {

  /** The request is served. */
  ProcessorDecision ADMITTED = new Admitted();

  /** The request is served. */
  record Admitted() implements ProcessorDecision {}

  /**
   * The request is refused without being run.
   *
   * @param expectedMillis the time that the request would spend in this instance, in milliseconds
   * @param limitMillis the time that it may spend there, in milliseconds
   */
  record Refused(double expectedMillis, double limitMillis) implements ProcessorDecision {}
}
