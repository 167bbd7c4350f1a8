package org.gentianslip.core.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * Decides the orders of one incarnation of an instance.
 *
 * <p>An order is sent only by the author that a list names, only while the list is acted on, and
 * only after the engine's state was read since the last order. At engines that ignore fences, and
 * for all orders that read weights, a new author waits until no order of an earlier author can
 * arrive. Versions of the list never fall. It is deterministic and takes the time as an argument.
 * Not safe for use by several threads.
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
   * Creates the desk of a new incarnation.
   *
   * @param storeLoadsPerSecond the loads a second that the weight store allows all regions together
   * @throws IllegalArgumentException if {@code storeLoadsPerSecond} is not positive
   */
  public OrderController(InstanceId self, OrderTimes times, double storeLoadsPerSecond) {
    this.self = Objects.requireNonNull(self, "self");
    this.times = Objects.requireNonNull(times, "times");
    this.storeLoadsPerSecond = requirePositive(storeLoadsPerSecond);
  }

  /**
   * Takes the loads a second that the weight store allows from now on.
   *
   * @throws IllegalArgumentException if {@code loadsPerSecond} is not positive
   */
  public void onStoreRate(double loadsPerSecond, long nowNanos) {
    storeLoadsPerSecond = requirePositive(loadsPerSecond);
    if (view != null) {
      earn(nowNanos);
      budget = budget.withRate(share(nowNanos), nowNanos);
    }
  }

  /** Returns whether the list names this instance as the author for an engine. */
  public boolean isAuthor(EngineId engine) {
    return terms.containsKey(engine);
  }

  /**
   * Takes a list or its confirmation; an older version is ignored.
   *
   * @param nowNanos when it was received, on the monotonic clock
   */
  public void onList(AuthorView read, long nowNanos) {
    if (view == null) {
      budget = LoadBudget.empty(nowNanos);
    } else {
      earn(nowNanos);
    }
    AuthorView before = view;
    view = before == null ? read : before.later(read);
    if (before == null || view.version() != before.version()) {
      renewTerms(nowNanos);
    }
    onLaterVersion(view.version());
    budget = budget.withRate(share(nowNanos), nowNanos);
  }

  /** Takes the version of the list that another instance knows. */
  public void onLaterVersion(long version) {
    latestKnownVersion = Math.max(latestKnownVersion, version);
  }

  /**
   * Decides what to do about an engine to which no order is under way.
   *
   * @param condition the state of the engine as it was read last
   * @param target the state that it is to have
   * @param nowNanos the present time on the monotonic clock
   */
  public OrderDecision decide(
      EngineId engine, ObservedEngineState condition, DesiredEngineState target, long nowNanos) {
    Optional<OrderReason> obstacle = obstacle(engine, condition, nowNanos);
    if (obstacle.isPresent()) {
      return new OrderDecision.Refrain(obstacle.get());
    }
    AuthorTerm term = terms.get(engine);
    Optional<EngineOrder> order = OrderPlan.next(engine, condition, target, term.fence());
    if (order.isEmpty()) {
      return new OrderDecision.Refrain(OrderReason.AT_TARGET);
    }
    if (!order.get().type().readsWeights()) {
      return send(order.get(), nowNanos);
    }
    if (term.isQuiet(nowNanos)) {
      return new OrderDecision.Refrain(OrderReason.QUIET_TIME);
    }
    if (!takeLoad(nowNanos)) {
      return new OrderDecision.Refrain(OrderReason.WEIGHT_STORE_RATE);
    }
    return send(order.get(), nowNanos);
  }

  /** Returns whether an order may be written; to be asked immediately before the write. */
  public boolean mayWrite(OrderDecision.Send send, long nowNanos) {
    AuthorTerm term = terms.get(send.order().engine());
    return send.writeByNanos() - nowNanos >= 0
        && term != null
        && term.fence().equals(send.order().fence())
        && !isExpired(nowNanos)
        && view.version() >= latestKnownVersion;
  }

  /**
   * Notes that an order was answered or given up.
   *
   * @param nowNanos when, on the monotonic clock
   */
  public void onOrderEnded(EngineId engine, long nowNanos) {
    lastOrderEndNanos.put(engine, nowNanos);
  }

  private static double requirePositive(double loadsPerSecond) {
    if (!(loadsPerSecond > 0)) {
      throw new IllegalArgumentException("loads per second must be positive: " + loadsPerSecond);
    }
    return loadsPerSecond;
  }

  private Optional<OrderReason> obstacle(
      EngineId engine, ObservedEngineState condition, long nowNanos) {
    AuthorTerm term = terms.get(engine);
    if (term == null) {
      return Optional.of(OrderReason.NOT_AUTHOR);
    }
    if (isExpired(nowNanos)) {
      return Optional.of(OrderReason.LIST_EXPIRED);
    }
    if (view.version() < latestKnownVersion) {
      return Optional.of(OrderReason.LATER_LIST_KNOWN);
    }
    if (!isRead(engine, condition, nowNanos)) {
      return Optional.of(OrderReason.STATE_NOT_READ);
    }
    if (condition.fence().compareTo(term.fence()) > 0) {
      return Optional.of(OrderReason.LATER_ORDER_TAKEN);
    }
    if (!condition.checksFence() && term.isQuiet(nowNanos)) {
      return Optional.of(OrderReason.QUIET_TIME);
    }
    return Optional.empty();
  }

  private boolean isExpired(long nowNanos) {
    return nowNanos - view.readNanos() > times.viewLifeNanos();
  }

  private boolean isRead(EngineId engine, ObservedEngineState condition, long nowNanos) {
    Long end = lastOrderEndNanos.get(engine);
    boolean readSince = end == null || condition.readNanos() - end >= 0;
    return readSince && nowNanos - condition.readNanos() <= times.conditionLifeNanos();
  }

  private OrderDecision send(EngineOrder order, long nowNanos) {
    return new OrderDecision.Send(order, nowNanos + times.conditionLifeNanos());
  }

  private boolean takeLoad(long nowNanos) {
    earn(nowNanos);
    budget = budget.withRate(share(nowNanos), nowNanos);
    Optional<LoadBudget> rest = budget.take();
    rest.ifPresent(left -> budget = left);
    return rest.isPresent();
  }

  /** Earns until now, but no longer than the list is acted on. */
  private void earn(long nowNanos) {
    long expiry = view.readNanos() + times.viewLifeNanos();
    budget = budget.earn(expiry - nowNanos < 0 ? expiry : nowNanos);
  }

  private double share(long nowNanos) {
    long own = terms.values().stream().filter(term -> !term.isQuiet(nowNanos)).count();
    return own == 0 ? 0 : storeLoadsPerSecond * own / view.fleetEngines();
  }

  private void renewTerms(long nowNanos) {
    Map<EngineId, AuthorTerm> before = Map.copyOf(terms);
    terms.clear();
    for (EngineId engine : view.engines()) {
      Optional<AuthorTerm> term = Optional.ofNullable(before.get(engine));
      AuthorTerm.under(view, engine, self, term, times, nowNanos)
          .ifPresent(next -> terms.put(engine, next));
    }
  }
}
