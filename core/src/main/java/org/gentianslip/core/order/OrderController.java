package org.gentianslip.core.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * Decides which orders one incarnation of an instance sends to engines.
 *
 * <p>An order is sent only by the author that the list determines, only while the list is valid,
 * and only if the engine's state was read after the last order. For engines that ignore fences, and
 * for all orders that read weights, a new author waits until no order of an earlier author can
 * arrive. The version of the list never decreases. The class is deterministic; the time is an
 * argument of its methods. Not thread-safe.
 *
 * @see OrderTimes
 */
public final class OrderController {

  private final InstanceId self;
  private final OrderTimes times;
  private double storeLoadsPerSecond;
  private final Map<EngineId, AuthorTerm> terms = new HashMap<>();
  private final Map<EngineId, Long> lastOrderEndNanos = new HashMap<>();
  private AuthorView view;
  private long latestKnownVersion;
  private LoadBudget budget;

  /**
   * Creates the controller of a new incarnation.
   *
   * @param storeLoadsPerSecond the loads per second that the weight store allows for all regions
   *     together
   * @throws IllegalArgumentException if {@code storeLoadsPerSecond} is not positive
   */
  public OrderController(InstanceId self, OrderTimes times, double storeLoadsPerSecond) {
    this.self = Objects.requireNonNull(self, "self");
    this.times = Objects.requireNonNull(times, "times");
    this.storeLoadsPerSecond = requirePositive(storeLoadsPerSecond);
  }

  /**
   * Sets the number of loads per second that the weight store allows from now on.
   *
   * @throws IllegalArgumentException if {@code loadsPerSecond} is not positive
   */
  public void onStoreRate(double loadsPerSecond, long nowNanos) {
    storeLoadsPerSecond = requirePositive(loadsPerSecond);
    if (view != null) {
      refill(nowNanos);
      budget = budget.withRate(allowedRate(nowNanos), nowNanos);
    }
  }

  /** Returns whether this instance is the author of the orders to an engine. */
  public boolean isAuthor(EngineId engine) {
    return terms.containsKey(engine);
  }

  /**
   * Applies a list or the confirmation of a list; an older version is ignored.
   *
   * @param read the list
   * @param nowNanos when it was received, in nanoseconds of the monotonic clock
   */
  public void onList(AuthorView read, long nowNanos) {
    if (view == null) {
      budget = LoadBudget.empty(nowNanos);
    } else {
      refill(nowNanos);
    }
    AuthorView previous = view;
    view = previous == null ? read : previous.later(read);
    if (previous == null || view.version() != previous.version()) {
      renewTerms(nowNanos);
    }
    onLaterVersion(view.version());
    budget = budget.withRate(allowedRate(nowNanos), nowNanos);
  }

  /** Records the version of the list that another instance knows. */
  public void onLaterVersion(long version) {
    latestKnownVersion = Math.max(latestKnownVersion, version);
  }

  /**
   * Decides whether to send an order to an engine to which no order is in progress.
   *
   * @param engine the engine
   * @param observed the state of the engine as it was last read
   * @param desired the desired state of the engine
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public OrderDecision decide(
      EngineId engine, ObservedEngineState observed, DesiredEngineState desired, long nowNanos) {
    Optional<OrderReason> reasonToRefrain = reasonToRefrain(engine, observed, nowNanos);
    if (reasonToRefrain.isPresent()) {
      return new OrderDecision.Refrain(reasonToRefrain.get());
    }
    AuthorTerm term = terms.get(engine);
    Optional<EngineOrder> order = OrderPlan.next(engine, observed, desired, term.fence());
    if (order.isEmpty()) {
      return new OrderDecision.Refrain(OrderReason.AT_TARGET);
    }
    if (!order.get().type().readsWeights()) {
      return send(order.get(), nowNanos);
    }
    if (term.isQuiet(nowNanos)) {
      return new OrderDecision.Refrain(OrderReason.QUIET_TIME);
    }
    if (!tryTakeLoad(nowNanos)) {
      return new OrderDecision.Refrain(OrderReason.WEIGHT_STORE_RATE);
    }
    return send(order.get(), nowNanos);
  }

  /** Returns whether an order may still be written; must be called immediately before the write. */
  public boolean mayWrite(OrderDecision.Send send, long nowNanos) {
    AuthorTerm term = terms.get(send.order().engine());
    return send.writeByNanos() - nowNanos >= 0
        && term != null
        && term.fence().equals(send.order().fence())
        && !isListExpired(nowNanos)
        && view.version() >= latestKnownVersion;
  }

  /**
   * Records that an order was answered or has timed out.
   *
   * @param engine the engine
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public void onOrderEnded(EngineId engine, long nowNanos) {
    lastOrderEndNanos.put(engine, nowNanos);
  }

  private static double requirePositive(double loadsPerSecond) {
    if (!(loadsPerSecond > 0)) {
      throw new IllegalArgumentException("Loads per second must be positive: " + loadsPerSecond);
    }
    return loadsPerSecond;
  }

  private Optional<OrderReason> reasonToRefrain(
      EngineId engine, ObservedEngineState observed, long nowNanos) {
    AuthorTerm term = terms.get(engine);
    if (term == null) {
      return Optional.of(OrderReason.NOT_AUTHOR);
    }
    if (isListExpired(nowNanos)) {
      return Optional.of(OrderReason.LIST_EXPIRED);
    }
    if (view.version() < latestKnownVersion) {
      return Optional.of(OrderReason.LATER_LIST_KNOWN);
    }
    if (!isCurrent(engine, observed, nowNanos)) {
      return Optional.of(OrderReason.STATE_NOT_READ);
    }
    if (observed.fence().compareTo(term.fence()) > 0) {
      return Optional.of(OrderReason.LATER_ORDER_TAKEN);
    }
    if (!observed.checksFence() && term.isQuiet(nowNanos)) {
      return Optional.of(OrderReason.QUIET_TIME);
    }
    return Optional.empty();
  }

  private boolean isListExpired(long nowNanos) {
    return nowNanos - view.readNanos() > times.listLifeNanos();
  }

  private boolean isCurrent(EngineId engine, ObservedEngineState observed, long nowNanos) {
    Long endNanos = lastOrderEndNanos.get(engine);
    boolean readSince = endNanos == null || observed.readNanos() - endNanos >= 0;
    return readSince && nowNanos - observed.readNanos() <= times.stateLifeNanos();
  }

  private OrderDecision send(EngineOrder order, long nowNanos) {
    return new OrderDecision.Send(order, nowNanos + times.stateLifeNanos());
  }

  private boolean tryTakeLoad(long nowNanos) {
    refill(nowNanos);
    budget = budget.withRate(allowedRate(nowNanos), nowNanos);
    Optional<LoadBudget> remaining = budget.tryTake();
    remaining.ifPresent(left -> budget = left);
    return remaining.isPresent();
  }

  /** Refills the budget until now, but not beyond the time at which the list expires. */
  private void refill(long nowNanos) {
    long expiryNanos = view.readNanos() + times.listLifeNanos();
    budget = budget.refill(expiryNanos - nowNanos < 0 ? expiryNanos : nowNanos);
  }

  private double allowedRate(long nowNanos) {
    long activeTerms = terms.values().stream().filter(term -> !term.isQuiet(nowNanos)).count();
    return activeTerms == 0 ? 0 : storeLoadsPerSecond * activeTerms / view.fleetEngines();
  }

  private void renewTerms(long nowNanos) {
    Map<EngineId, AuthorTerm> previous = Map.copyOf(terms);
    terms.clear();
    for (EngineId engine : view.engines()) {
      Optional<AuthorTerm> term = Optional.ofNullable(previous.get(engine));
      AuthorTerm.ofView(view, engine, self, term, times, nowNanos)
          .ifPresent(next -> terms.put(engine, next));
    }
  }
}
