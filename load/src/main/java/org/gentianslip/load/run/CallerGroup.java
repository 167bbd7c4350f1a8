package org.gentianslip.load.run;

import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.call.EntryFinder;

/**
 * The callers of one region.
 *
 * <p>Immutable; safe for use by several threads if the finder is.
 *
 * @param region where the callers are
 * @param finder finds the entries that they use
 */
public record CallerGroup(RegionId region, EntryFinder finder) {}
