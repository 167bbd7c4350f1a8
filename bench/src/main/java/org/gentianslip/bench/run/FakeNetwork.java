package org.gentianslip.bench.run;

import org.gentianslip.core.id.RegionId;

/** Carries messages of entries to callers and to other regions. For one thread. */
interface FakeNetwork {

  /** Returns the latency one way between regions, in nanoseconds. */
  long oneWayNanos();

  /** Returns the bytes of a call's prompt. */
  long promptBytes(Call call);

  /** Returns the bytes of a call's whole answer. */
  long answerBytes(Call call);

  /** Sends a call to another region. */
  void forward(Call call, RegionId to);

  /** Tells a call's origin that a region refused it. */
  void refusedRemotely(Call call, RegionId from);

  /** Tells the caller that its request has not run. */
  void refused(Call call);

  /** Sends the first token from an entry towards the caller. */
  void firstToken(Call call, FakeEntry from);

  /** Notes that an answer is whole. */
  void done(Call call);

  /** Notes that an answer broke off. */
  void failed(Call call);

  /** Notes that a call is tried again. */
  void retried();
}
