package org.gentianslip.load.call;

import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.work.CallSpec;

/**
 * How a call ended.
 *
 * <p>Immutable as long as nobody changes the timing's array; safe for use by several threads.
 *
 * @param spec the call
 * @param region the caller's region
 * @param outcome what the caller can say of the call
 * @param code the last error's code, empty if answered
 * @param detail a sentence on the failure, empty if answered
 * @param sentAway whether another region than that of the entry ran the call
 * @param refusals the number of refusals that the caller followed to another entry
 * @param dueNanos the monotonic time at which the call was due, in nanoseconds
 * @param timing when the answer's parts arrived, null unless answered
 */
public record CallResult(
    CallSpec spec,
    RegionId region,
    Outcome outcome,
    String code,
    String detail,
    boolean sentAway,
    int refusals,
    long dueNanos,
    Timing timing) {}
