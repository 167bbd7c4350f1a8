package org.gentianslip.demo.fleet;

/**
 * How fast the model engines of a fleet are.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slots the number of requests in a batch
 * @param queue the number of requests that wait
 * @param tokenMillis the time between tokens, in milliseconds
 */
public record EnginePlan(int slots, int queue, double tokenMillis) {}
