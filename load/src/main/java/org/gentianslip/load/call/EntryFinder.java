package org.gentianslip.load.call;

import java.io.IOException;
import java.util.List;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;

/**
 * Finds the entry instances that a caller should use.
 *
 * <p>Implementations must be thread-safe.
 */
public interface EntryFinder {

  /**
   * Returns the entries for the calls of a customer of one kind, in order of preference.
   *
   * @param nowNanos the current time of the monotonic clock, in nanoseconds
   * @throws IOException if no entry instance returns a list
   */
  List<EntryAddress> find(CustomerId customer, KindId kind, long nowNanos) throws IOException;

  /**
   * Records that an entry refused a call, so that the list is replaced by the offered entries or
   * fetched again.
   *
   * @param offered the entries that the refusal names, or empty if it names none
   */
  void recordRefusal(CustomerId customer, KindId kind, List<EntryAddress> offered);
}
