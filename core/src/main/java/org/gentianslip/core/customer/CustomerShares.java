package org.gentianslip.core.customer;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;
import org.gentianslip.core.id.CustomerId;

/**
 * The shares of customers in the recent work of a service, at one instance.
 *
 * <p>Work counts as long as it is recent: its weight falls by half in each half-life, whether or
 * not requests arrive. The customers in a report of others replace those of the previous report of
 * the same source. The number of customers and sources is bounded; further ones have no use and no
 * limit. Thread-safe.
 */
public final class CustomerShares {

  /** The smallest factor, so that a customer is never refused while the wait is short. */
  public static final double MIN_FACTOR = 0.35;

  private static final int MAX_CUSTOMERS = 1_024;
  private static final int MAX_SOURCES = 256;

  /** The part of a unit of work from which a customer counts as active. */
  private static final double MIN_WORK = 0.01;

  private final double halfLifeNanos;
  private final Map<CustomerId, Double> own = new HashMap<>();
  private final Map<String, Report> reports = new HashMap<>();
  private long ownNanos;

  /** The work of customers elsewhere, as of a time of this instance. */
  private record Report(Map<CustomerId, Double> work, long heardNanos) {}

  /**
   * Creates shares without any work.
   *
   * @param halfLifeNanos the time in which the weight of work falls by half, in nanoseconds
   */
  public CustomerShares(long halfLifeNanos) {
    if (halfLifeNanos <= 0) {
      throw new IllegalArgumentException("Half-life must be positive: " + halfLifeNanos);
    }
    this.halfLifeNanos = halfLifeNanos;
  }

  /**
   * Records work of a request that was sent.
   *
   * @param work the work, in any unit that is the same for all requests, at least 0
   */
  public synchronized void record(long nowNanos, CustomerId customer, double work) {
    decayOwn(nowNanos);
    if (work > 0 && (own.containsKey(customer) || own.size() < MAX_CUSTOMERS)) {
      own.merge(customer, work, Double::sum);
    }
  }

  /** Returns the recent work of requests that this instance sent, to be reported to others. */
  public synchronized Map<CustomerId, Double> ownWork(long nowNanos) {
    decayOwn(nowNanos);
    return Map.copyOf(own);
  }

  /** Applies a report of the recent work that other instances sent. */
  public synchronized void applyReport(long nowNanos, String source, Map<CustomerId, Double> work) {
    if (work.size() <= MAX_CUSTOMERS
        && (reports.containsKey(source) || reports.size() < MAX_SOURCES)) {
      reports.put(source, new Report(Map.copyOf(work), nowNanos));
    }
  }

  /**
   * Returns the factor of the limit up to which a customer's requests may be expected to wait.
   *
   * @param rates the quota of a customer in tokens per second, empty if it has none
   * @return 1 within the customer's share, and from {@link #MIN_FACTOR} to 1 beyond it
   */
  public synchronized double limitFactor(
      long nowNanos, CustomerId customer, Function<CustomerId, OptionalDouble> rates) {
    Map<CustomerId, Double> work = recentWork(nowNanos);
    double use = work.getOrDefault(customer, 0.0);
    if (use <= 0 || work.size() == 1) {
      return 1;
    }
    double defaultWeight =
        work.keySet().stream()
            .map(rates)
            .filter(OptionalDouble::isPresent)
            .mapToDouble(OptionalDouble::getAsDouble)
            .average()
            .orElse(1);
    double weights = 0;
    double sum = 0;
    for (Map.Entry<CustomerId, Double> entry : work.entrySet()) {
      weights += rates.apply(entry.getKey()).orElse(defaultWeight);
      sum += entry.getValue();
    }
    double share = sum * rates.apply(customer).orElse(defaultWeight) / weights;
    return use <= share ? 1 : Math.max(MIN_FACTOR, share / use);
  }

  private Map<CustomerId, Double> recentWork(long nowNanos) {
    decayOwn(nowNanos);
    Map<CustomerId, Double> work = new HashMap<>(own);
    Iterator<Report> iterator = reports.values().iterator();
    while (iterator.hasNext()) {
      Report report = iterator.next();
      double factor = decay(nowNanos - report.heardNanos());
      boolean recent = false;
      for (Map.Entry<CustomerId, Double> entry : report.work().entrySet()) {
        double rest = entry.getValue() * factor;
        if (rest >= MIN_WORK) {
          work.merge(entry.getKey(), rest, Double::sum);
          recent = true;
        }
      }
      if (!recent) {
        iterator.remove();
      }
    }
    return work;
  }

  private void decayOwn(long nowNanos) {
    if (nowNanos - ownNanos <= 0 && !own.isEmpty()) {
      return;
    }
    double factor = decay(nowNanos - ownNanos);
    ownNanos = nowNanos;
    own.replaceAll((customer, work) -> work * factor);
    own.values().removeIf(work -> work < MIN_WORK);
  }

  private double decay(long ageNanos) {
    return Math.pow(0.5, Math.max(0, ageNanos) / halfLifeNanos);
  }
}
