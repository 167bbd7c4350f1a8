package org.gentianslip.settings;

import java.util.List;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.RegionId;

/**
 * A region.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the region
 * @param dataCentres the ids of its data centres
 */
public record Region(RegionId id, List<DataCentreId> dataCentres) {

  /** Copies the list. */
  public Region {
    dataCentres = List.copyOf(dataCentres);
  }
}
