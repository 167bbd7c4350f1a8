package org.gentianslip.settings;

import java.util.List;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.RegionId;

/**
 * Describes a region.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the region
 * @param dataCentres its data centres
 */
public record Region(RegionId id, List<DataCentreId> dataCentres) {

  /** Copies the list. */
  public Region {
    dataCentres = List.copyOf(dataCentres);
  }
}
