package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A share of a buffer quota")
class BufferShareTest {

  private static final long QUOTA = 1_000;

  private final BufferQuota quota = BufferQuota.of(QUOTA);
  private final BufferShare share = BufferShare.of(quota);

  @Test
  void takesNothingForSmallResponses() {
    assertThat(share.tryResize(BufferShare.FREE_BYTES), is(true));
    assertThat(quota.tryTake(QUOTA), is(true));
  }

  @Test
  void allowsSmallResponsesWhileTheQuotaIsUsedUp() {
    quota.tryTake(QUOTA);
    assertThat(share.tryResize(BufferShare.FREE_BYTES), is(true));
    assertThat(share.tryResize(BufferShare.FREE_BYTES + 1), is(false));
  }

  @Test
  void takesTheRestOfLargeResponses() {
    assertThat(share.tryResize(BufferShare.FREE_BYTES + QUOTA), is(true));
    assertThat(quota.tryTake(1), is(false));
  }

  @Test
  void givesBackWhenItShrinksEvenWhileTheQuotaIsExceeded() {
    share.tryResize(BufferShare.FREE_BYTES + QUOTA);
    quota.take(QUOTA);
    assertThat(share.tryResize(0), is(true));
    quota.giveBack(QUOTA);
    assertThat(quota.tryTake(QUOTA), is(true));
  }

  @Test
  void givesEverythingBackOnce() {
    share.resize(BufferShare.FREE_BYTES + 2 * QUOTA);
    share.release();
    share.release();
    assertThat(quota.tryTake(QUOTA), is(true));
    assertThat(quota.tryTake(1), is(false));
  }
}
