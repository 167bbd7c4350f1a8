package org.gentianslip.entry.testing;

import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.entry.process.EntryConfig;

/**
 * Creates configurations of instances that open no ports. Stateless and safe for use by several
 * threads.
 */
public final class EntryConfigs {

  private EntryConfigs() {}

  /** Returns the configuration of an instance in the region graz. */
  public static EntryConfig inGraz(String instance) {
    return new EntryConfig(
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
