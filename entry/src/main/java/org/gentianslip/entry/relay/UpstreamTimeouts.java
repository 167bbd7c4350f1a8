package org.gentianslip.entry.relay;

import java.time.Duration;

/**
 * Bounds one exchange.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connect how long a connection may take
 * @param silence how long the other side may be silent
 * @param whole how long the exchange may take
 */
public record UpstreamTimeouts(Duration connect, Duration silence, Duration whole) {}
