package org.gentianslip.load.call;

import java.io.IOException;
import java.util.List;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;

/**
 * Finds the entry instances that a caller should use.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface EntryFinder {

  /**
   * Returns the entries for a customer's work, the preferred one first.
   *
   * @param nowNanos the present time of the monotonic clock, in nanoseconds
   * @throws IOException if no entry can be asked
   */
  List<EntryAddress> find(CustomerId customer, KindId kind, long nowNanos) throws IOException;

  /**
   * Notes that an entry refused a customer's work, so that the list is asked for anew.
   *
   * @param offered the entries that the refusal named, empty if it named none
   */
  void refused(CustomerId customer, KindId kind, List<EntryAddress> offered);
}
