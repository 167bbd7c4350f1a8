package org.gentianslip.entry.gateway;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.customer.CustomerShares;
import org.gentianslip.core.customer.CustomerTable;
import org.gentianslip.core.customer.Quota;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.ServiceId;

/**
 * The recent work of customers at the backend servers of each service, as sent by this instance.
 *
 * <p>Safe for use by several threads.
 */
final class CustomerWork {

  private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<ServiceId, CustomerShares> shares = new ConcurrentHashMap<>();

  /** Records work of a request that is sent, in milliseconds of a backend server. */
  void record(long nowNanos, ServiceId service, CustomerId customer, double millis) {
    sharesOf(service).record(nowNanos, customer, millis);
  }

  /**
   * Returns the part of the limit of the expected wait that applies to a customer.
   *
   * @param customers the customers of the configuration in force, whose quotas weigh the shares
   */
  double limitFactor(
      long nowNanos, ServiceId service, CustomerId customer, CustomerTable customers) {
    return sharesOf(service)
        .limitFactor(
            nowNanos,
            customer,
            id ->
                customers
                    .find(id)
                    .flatMap(Customer::quota)
                    .filter(Quota::byTokens)
                    .map(Quota::tokensPerSecond)
                    .map(OptionalDouble::of)
                    .orElse(OptionalDouble.empty()));
  }

  private CustomerShares sharesOf(ServiceId service) {
    return shares.computeIfAbsent(service, s -> new CustomerShares(HALF_LIFE_NANOS));
  }
}
