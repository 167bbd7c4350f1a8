package org.gentianslip.demo;

import java.io.IOException;
import java.util.LongSummaryStatistics;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;

/**
 * The resources that the entry instances of a fleet have used for control up to a point in time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instanceCount the number of entry instances
 * @param atNanos the time of the sample, in nanoseconds of the monotonic clock
 * @param bytes the number of bytes of messages between instances and of load reports, in both
 *     directions
 * @param messages the number of these messages
 * @param processorNanos the processor time used by all instances, in nanoseconds
 * @param meanResidentBytes the mean resident memory of an instance, in bytes
 * @param maxResidentBytes the maximum resident memory of an instance, in bytes
 * @param configCalls the number of calls that the config service has admitted
 */
record ControlCostSample(
    int instanceCount,
    long atNanos,
    double bytes,
    double messages,
    long processorNanos,
    double meanResidentBytes,
    long maxResidentBytes,
    long configCalls) {

  /** Takes a sample of a running fleet. */
  static ControlCostSample take(long nowNanos, Fleet fleet) throws IOException {
    double bytes = 0;
    double messages = 0;
    long processorNanos = 0;
    var residentBytes = new LongSummaryStatistics();
    for (EntryNode entry : fleet.layout().entries()) {
      String id = entry.id().value();
      bytes += fleet.metricSum(id, "gentian_control_bytes_total");
      messages += fleet.metricSum(id, "gentian_control_messages_total");
      processorNanos += fleet.process(id).processorTime().toNanos();
      residentBytes.accept(fleet.process(id).residentBytes());
    }
    return new ControlCostSample(
        fleet.layout().entries().size(),
        nowNanos,
        bytes,
        messages,
        processorNanos,
        residentBytes.getAverage(),
        residentBytes.getMax(),
        fleet.configCalls());
  }
}
