package org.gentianslip.burn.source;

import org.gentianslip.core.id.RegionId;

/**
 * An instance whose metrics are scraped.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the id of the instance
 * @param region the region of the instance
 * @param operatorAddress the address of the operator port, as {@code IP:PORT}
 */
public record ScrapeTarget(String instance, RegionId region, String operatorAddress) {}
