package org.gentianslip.entry.relay;

import java.time.Duration;

/**
 * The time limits of one exchange.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connect the maximum time to establish a connection
 * @param idle the maximum time without a byte from or to the other side
 * @param total the maximum time of the whole exchange
 */
public record UpstreamTimeouts(Duration connect, Duration idle, Duration total) {}
