package org.gentianslip.burn.source;

import org.gentianslip.core.id.RegionId;

/**
 * An instance whose metrics are read.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the instance's id or address
 * @param region the instance's region
 * @param operatorAddress the address of the operator port, as {@code IP:PORT}
 */
public record Target(String instance, RegionId region, String operatorAddress) {}
