package org.gentianslip.core.customer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.CustomerId;

/**
 * A service with two ranks and one queue for each, in virtual time, that instances send requests of
 * eight customers to.
 *
 * <p>Customer 0 has rank 0. Customer {@value #FLOODING} may send a multiple of its usual load in
 * the second half of the run. An instance refuses requests beyond the limit of the expected wait,
 * and learns once a second what the others have sent.
 */
final class FloodSimulation {

  static final int FLOODING = 7;
  private static final int CUSTOMERS = 8;
  private static final double CAPACITY_PER_MILLI = 0.1;
  private static final double OBJECTIVE_MILLIS = 1_000;
  private static final double PER_CUSTOMER_PER_MILLI = 0.01;
  private static final int RUN_MILLIS = 80_000;
  private static final int REPORT_MILLIS = 1_000;

  private final double flood;
  private final boolean useShares;
  private final List<CustomerShares> instances = new ArrayList<>();
  private final SplittableRandom[] arrivals = new SplittableRandom[CUSTOMERS];
  private final SplittableRandom placement = new SplittableRandom(3);
  private final int[] inTime = new int[CUSTOMERS];
  private final List<Double> urgentMillis = new ArrayList<>();
  private double urgentWork;
  private double otherWork;

  FloodSimulation(int count, double flood, boolean useShares) {
    this.flood = flood;
    this.useShares = useShares;
    for (int i = 0; i < count; i++) {
      instances.add(new CustomerShares(TimeUnit.SECONDS.toNanos(2)));
    }
    for (int i = 0; i < CUSTOMERS; i++) {
      arrivals[i] = new SplittableRandom(100 + i);
    }
  }

  /** Returns the requests of a customer that were expected to be answered within the objective. */
  int inTime(int customer) {
    return inTime[customer];
  }

  /** Returns the 99th percentile of the waits of rank 0, in milliseconds. */
  double urgentMillis99() {
    List<Double> sorted = urgentMillis.stream().sorted().toList();
    return sorted.get((int) (0.99 * sorted.size()));
  }

  void run() {
    for (int milli = 0; milli < RUN_MILLIS; milli++) {
      long nowNanos = TimeUnit.MILLISECONDS.toNanos(milli);
      serve();
      for (int customer = 0; customer < CUSTOMERS; customer++) {
        boolean flooding = customer == FLOODING && milli > RUN_MILLIS / 2;
        double rate = PER_CUSTOMER_PER_MILLI * (flooding ? flood : 1);
        if (arrivals[customer].nextDouble() < rate) {
          arrive(nowNanos, customer);
        }
      }
      if (milli % REPORT_MILLIS == 0) {
        report(nowNanos);
      }
    }
  }

  private void serve() {
    double urgent = Math.min(urgentWork, CAPACITY_PER_MILLI);
    urgentWork -= urgent;
    otherWork = Math.max(0, otherWork - (CAPACITY_PER_MILLI - urgent));
  }

  private void arrive(long nowNanos, int customer) {
    CustomerShares shares = instances.get(placement.nextInt(instances.size()));
    CustomerId id = CustomerId.of("c" + customer);
    boolean urgent = customer == 0;
    double ahead = urgent ? urgentWork : urgentWork + otherWork;
    double waitMillis = (ahead + 1) / CAPACITY_PER_MILLI;
    double factor = useShares ? shares.limitFactor(nowNanos, id, c -> OptionalDouble.empty()) : 1;
    if (waitMillis > factor * (urgent ? 1.5 : 0.9) * OBJECTIVE_MILLIS) {
      return;
    }
    shares.record(nowNanos, id, 1);
    if (urgent) {
      urgentWork++;
      urgentMillis.add(waitMillis);
    } else {
      otherWork++;
    }
    inTime[customer] += waitMillis <= OBJECTIVE_MILLIS ? 1 : 0;
  }

  private void report(long nowNanos) {
    Map<CustomerId, Double> sum = new HashMap<>();
    List<Map<CustomerId, Double>> own = new ArrayList<>();
    for (CustomerShares shares : instances) {
      Map<CustomerId, Double> work = shares.ownWork(nowNanos);
      own.add(work);
      work.forEach((id, w) -> sum.merge(id, w, Double::sum));
    }
    for (int i = 0; i < instances.size(); i++) {
      Map<CustomerId, Double> others = new HashMap<>(sum);
      own.get(i).forEach((id, w) -> others.merge(id, -w, Double::sum));
      others.values().removeIf(w -> w <= 0);
      instances.get(i).applyReport(nowNanos, "others", others);
    }
  }
}
