package org.gentianslip.core.fleet;

/**
 * What one instance states of another one. Immutable and thread-safe.
 *
 * @param peer the last known record of the instance
 * @param silent whether it has stopped answering after that record
 * @param silentMillis how long it has been silent, in milliseconds; 0 unless it is silent
 */
public record PeerStatement(PeerRecord peer, boolean silent, long silentMillis) {}
