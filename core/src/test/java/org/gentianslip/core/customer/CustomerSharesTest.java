package org.gentianslip.core.customer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.CustomerId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The shares of customers")
class CustomerSharesTest {

  private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final CustomerId A = CustomerId.of("a");
  private static final CustomerId B = CustomerId.of("b");

  private final CustomerShares shares = new CustomerShares(HALF_LIFE_NANOS);

  private double factor(long nowNanos, CustomerId customer) {
    return shares.limitFactor(nowNanos, customer, c -> OptionalDouble.empty());
  }

  @Test
  @DisplayName("do not restrict the only customer, nor one within its share")
  void restrictNobodyWithinTheShare() {
    shares.record(0, A, 30);
    assertThat(factor(0, A), is(1.0));
    shares.record(0, B, 10);
    assertThat(factor(0, B), is(1.0));
    assertThat(factor(0, A), is(closeTo(2.0 / 3, 1e-9)));
  }

  @Test
  @DisplayName("follow the quotas where there are some")
  void followQuotas() {
    shares.record(0, A, 30);
    shares.record(0, B, 10);
    double factor = shares.limitFactor(0, A, c -> OptionalDouble.of(c.equals(A) ? 300 : 100));
    assertThat(factor, is(1.0));
  }

  @Test
  @DisplayName("count what other instances report, until it is no longer recent")
  void countReports() {
    shares.record(0, A, 10);
    shares.applyReport(0, "others", Map.of(B, 90.0));
    assertThat(factor(0, A), is(1.0));
    assertThat(factor(0, B), is(closeTo(50.0 / 90, 1e-9)));
    assertThat(factor(40 * HALF_LIFE_NANOS, B), is(1.0));
  }

  @Test
  @DisplayName("never restrict a customer to less than the smallest factor")
  void keepTheSmallestFactor() {
    shares.record(0, A, 1_000);
    for (int i = 0; i < 20; i++) {
      shares.record(0, CustomerId.of("c" + i), 1);
    }
    assertThat(factor(0, A), is(CustomerShares.MIN_FACTOR));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 84, 300})
  @DisplayName("keep a flood of one customer from the others")
  void keepFloodFromOthers(int instances) {
    var calm = new FloodSimulation(instances, 1, true);
    calm.run();
    var flooded = new FloodSimulation(instances, 8, true);
    flooded.run();
    for (int customer = 0; customer < FloodSimulation.FLOODING; customer++) {
      double kept = (double) flooded.inTime(customer) / calm.inTime(customer);
      assertThat("customer " + customer, kept, is(greaterThanOrEqualTo(0.95)));
    }
    assertThat(flooded.urgentMillis99(), is(lessThanOrEqualTo(1.25 * calm.urgentMillis99())));
    assertThat(
        "the flood gets what the others leave",
        flooded.inTime(FloodSimulation.FLOODING) > 1.8 * calm.inTime(FloodSimulation.FLOODING));
  }

  @Test
  @DisplayName("are what keeps the flood away, as without them others lose requests")
  void areNeeded() {
    var calm = new FloodSimulation(7, 1, false);
    calm.run();
    var flooded = new FloodSimulation(7, 8, false);
    flooded.run();
    assertThat((double) flooded.inTime(1) / calm.inTime(1), is(lessThan(0.95)));
  }
}
