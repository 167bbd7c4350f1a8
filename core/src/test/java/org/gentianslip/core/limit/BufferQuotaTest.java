package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A buffer quota")
class BufferQuotaTest {

  private final BufferQuota quota = BufferQuota.of(100);

  @Test
  void grantsNoMoreThanItHas() {
    assertThat(quota.tryTake(60), is(true));
    assertThat(quota.tryTake(60), is(false));
    assertThat(quota.tryTake(40), is(true));
  }

  @Test
  void grantsBytesThatWereGivenBack() {
    quota.tryTake(100);
    quota.giveBack(30);
    assertThat(quota.tryTake(30), is(true));
    assertThat(quota.tryTake(1), is(false));
  }

  @Test
  void rejectsQuotasWithoutBytes() {
    assertThrows(IllegalArgumentException.class, () -> BufferQuota.of(0));
  }
}
