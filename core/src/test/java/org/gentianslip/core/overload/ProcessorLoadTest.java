package org.gentianslip.core.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against a belief of load that outlasts the load. */
@DisplayName("The load of the processor")
class ProcessorLoadTest {

  private static final long MILLI = 1_000_000;

  private final ProcessorLoad load = new ProcessorLoad();

  @Test
  void isNoneAtFirst() {
    assertThat(load.delayNanos(0), is(0L));
    assertThat(load.isOverloaded(0), is(false));
  }

  @Test
  void keepsTheLargestWaitFor250Millis() {
    load.record(0, 90 * MILLI);
    load.record(124 * MILLI, 20 * MILLI);
    load.record(249 * MILLI, 30 * MILLI);
    assertThat(load.delayNanos(249 * MILLI), is(90 * MILLI));
    load.record(375 * MILLI, 20 * MILLI);
    assertThat(load.delayNanos(375 * MILLI), is(30 * MILLI));
  }

  @Test
  void expiresWithoutRequests() {
    load.record(0, 90 * MILLI);
    load.record(200 * MILLI, 90 * MILLI);
    assertThat(load.isOverloaded(1_199 * MILLI), is(true));
    assertThat(load.isOverloaded(1_200 * MILLI), is(false));
    assertThat(load.delayNanos(1_200 * MILLI), is(0L));
  }

  @Test
  void isNoOverloadAfterOneShortWait() {
    load.record(0, 90 * MILLI);
    load.record(200 * MILLI, 90 * MILLI);
    assertThat(load.isOverloaded(200 * MILLI), is(true));
    load.record(201 * MILLI, MILLI);
    assertThat(load.isOverloaded(201 * MILLI), is(false));
  }

  /** Guards against refusals by an idle instance, two of whose requests were slow by chance. */
  @Test
  void isNoOverloadIfTheLoopWasIdleBetween() {
    load.record(0, 90 * MILLI);
    load.record(900 * MILLI, 90 * MILLI);
    assertThat(load.isOverloaded(900 * MILLI), is(false));
  }
}
