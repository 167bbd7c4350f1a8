package org.gentianslip.bench.run;

import org.gentianslip.core.id.RegionId;

/** The connections of a simulated entry to callers and to other regions. Not thread-safe. */
interface SimulatedNetwork {

  /** Returns the one-way latency between regions, in nanoseconds. */
  long interRegionOneWayNanos();

  /** Returns the size of the prompt of a call, in bytes. */
  long promptBytes(SimulatedCall call);

  /** Returns the size of the complete answer of a call, in bytes. */
  long answerBytes(SimulatedCall call);

  /** Forwards a call to another region. */
  void forward(SimulatedCall call, RegionId to);

  /** Sends the refusal of a forwarded call from a region to the entry that forwarded it. */
  void sendRefusal(SimulatedCall call, RegionId from);

  /** Ends a call that has not run, by a refusal to the caller. */
  void refuse(SimulatedCall call);

  /** Sends the first token of an answer from an entry to the caller. */
  void sendFirstToken(SimulatedCall call, SimulatedEntry from);

  /** Ends a call whose answer is complete. */
  void complete(SimulatedCall call);

  /** Ends a call whose answer was cut off. */
  void fail(SimulatedCall call);

  /** Counts a retry of a call. */
  void recordRetry();
}
