package org.gentianslip.load.call;

import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.work.CallSpec;

/**
 * The result of one call, as its caller sees it.
 *
 * <p>Immutable and thread-safe, provided that no one modifies the array in {@code timing}.
 *
 * @param spec the call
 * @param region the caller's region
 * @param outcome what the caller knows about the execution of the call
 * @param code the code of the last error, or empty if the call was answered
 * @param detail a description of the failure, or empty if the call was answered
 * @param forwarded whether a region other than the region of the entry served the call
 * @param refusals the number of refusals after which the caller tried another entry
 * @param dueNanos the monotonic time at which the call was due, in nanoseconds
 * @param timing when the parts of the answer arrived, or null if the call was not answered
 */
public record CallResult(
    CallSpec spec,
    RegionId region,
    CallOutcome outcome,
    String code,
    String detail,
    boolean forwarded,
    int refusals,
    long dueNanos,
    AnswerTiming timing) {}
