package org.gentianslip.demo;

import java.io.IOException;
import java.util.LongSummaryStatistics;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;

/**
 * Holds what all entry instances of a fleet have spent on control so far.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instances the number of entry instances
 * @param atNanos when it was read, in nanoseconds of the monotonic clock
 * @param bytes the bytes of messages between instances and of load reports, both directions
 * @param messages the messages
 * @param processorNanos the processor time, in nanoseconds
 * @param meanResidentBytes the mean memory of an instance, in bytes
 * @param maxResidentBytes the greatest memory of an instance, in bytes
 * @param configCalls the calls to the config service
 */
record ControlSample(
    int instances,
    long atNanos,
    double bytes,
    double messages,
    long processorNanos,
    double meanResidentBytes,
    long maxResidentBytes,
    long configCalls) {

  /** Reads the present state of a fleet. */
  static ControlSample read(long nowNanos, Fleet fleet) throws IOException {
    double bytes = 0;
    double messages = 0;
    long processorNanos = 0;
    var resident = new LongSummaryStatistics();
    for (EntryNode entry : fleet.layout().entries()) {
      String id = entry.id().value();
      bytes += fleet.metric(id, "gentian_control_bytes_total");
      messages += fleet.metric(id, "gentian_control_messages_total");
      processorNanos += fleet.process(id).processorTime().toNanos();
      resident.accept(fleet.process(id).residentBytes());
    }
    return new ControlSample(
        fleet.layout().entries().size(),
        nowNanos,
        bytes,
        messages,
        processorNanos,
        resident.getAverage(),
        resident.getMax(),
        fleet.configCalls());
  }
}
