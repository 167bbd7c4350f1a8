package org.gentianslip.entry.testing;

import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.entry.process.EntryPlace;

/** Makes places of instances that open no ports. Stateless and safe for use by several threads. */
public final class EntryConfigs {

  private EntryConfigs() {}

  /** Returns a place in graz. */
  public static EntryPlace inGraz(String instance) {
    return new EntryPlace(
        InstanceId.of(instance),
        RegionId.of("graz"),
        DataCentreId.of("graz-1"),
        "127.0.0.1",
        1,
        2,
        3,
        "127.0.0.1:4",
        "peer-key",
        "operator-key");
  }
}
