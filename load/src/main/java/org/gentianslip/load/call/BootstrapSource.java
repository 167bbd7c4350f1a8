package org.gentianslip.load.call;

import java.io.IOException;
import java.util.List;

/**
 * Supplies the entry instances that can be queried for the list of entries to use.
 *
 * <p>Implementations must be thread-safe.
 */
public interface BootstrapSource {

  /**
   * Returns the entries to query, in the order in which to try them.
   *
   * @param nowNanos the current time of the monotonic clock, in nanoseconds
   * @throws IOException if no entry instance is known
   */
  List<EntryAddress> bootstrapEntries(long nowNanos) throws IOException;

  /** Returns a source that always supplies the same entries. */
  static BootstrapSource fixed(List<EntryAddress> entries) {
    List<EntryAddress> copy = List.copyOf(entries);
    return nowNanos -> copy;
  }
}
