package org.gentianslip.entry.configservice;

import java.util.List;

/**
 * The list of instances and backend servers that the platform publishes, which may be outdated.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param version the version of the list, which increases with each published list
 * @param entries the instances of all regions
 * @param backends the backend servers of all regions
 */
public record InstanceList(
    long version, List<InstanceRecord> entries, List<BackendRecord> backends) {

  /** The empty list that is in use until the first one is read. */
  public static final InstanceList NONE = new InstanceList(0, List.of(), List.of());

  /** Copies the lists. */
  public InstanceList {
    entries = entries == null ? List.of() : List.copyOf(entries);
    backends = backends == null ? List.of() : List.copyOf(backends);
  }
}
