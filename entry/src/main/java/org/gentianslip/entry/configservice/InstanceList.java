package org.gentianslip.entry.configservice;

import java.util.List;

/**
 * Holds the platform's lagging list of instances and backend servers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param version the version of the list; a greater number is a later list
 * @param entries the instances of all regions
 * @param backends the backend servers of all regions
 */
public record InstanceList(
    long version, List<InstanceRecord> entries, List<BackendRecord> backends) {

  /** The list before the first one was read. */
  public static final InstanceList NONE = new InstanceList(0, List.of(), List.of());

  /** Copies the lists. */
  public InstanceList {
    entries = entries == null ? List.of() : List.copyOf(entries);
    backends = backends == null ? List.of() : List.copyOf(backends);
  }
}
