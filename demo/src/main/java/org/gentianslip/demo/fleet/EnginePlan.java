package org.gentianslip.demo.fleet;

/**
 * The capacity and the speed of the model engines of a fleet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the maximum number of requests in a batch
 * @param queue the maximum number of waiting requests
 * @param tokenMillis the time between tokens, in milliseconds
 */
public record EnginePlan(int slots, int queue, double tokenMillis) {}
