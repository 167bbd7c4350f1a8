package org.gentianslip.load.call;

import java.io.IOException;
import java.util.List;

/**
 * Gives the entry instances that may be asked for the list of entries.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface ContactSource {

  /**
   * Returns the contacts in the order in which they are to be tried.
   *
   * @param nowNanos the present time of the monotonic clock, in nanoseconds
   * @throws IOException if none is known
   */
  List<EntryAddress> contacts(long nowNanos) throws IOException;

  /** Returns a source that always gives the same contacts. */
  static ContactSource fixed(List<EntryAddress> contacts) {
    List<EntryAddress> copy = List.copyOf(contacts);
    return now -> copy;
  }
}
