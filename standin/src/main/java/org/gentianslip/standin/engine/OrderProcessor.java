package org.gentianslip.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Applies orders to the state of an engine.
 *
 * <p>If fencing is checked, the fence of accepted orders never decreases. Safe for use by several
 * threads.
 */
final class OrderProcessor {

  private static final int MAX_RECORDED_ORDERS = 1000;

  private final boolean checksFencing;
  private final Set<String> models;
  private final Set<String> loading = new LinkedHashSet<>();
  private final Set<String> adapters = new LinkedHashSet<>();
  private final Deque<ReceivedOrder> accepted = new ArrayDeque<>();
  private String version = "";
  private String role = "";
  private ReceivedFence fence = new ReceivedFence(0, 0);
  private long refused;

  OrderProcessor(boolean checksFencing, List<String> models) {
    this.checksFencing = checksFencing;
    this.models = new LinkedHashSet<>(models);
  }

  /** Applies an order and returns whether it is accepted. */
  synchronized boolean apply(ReceivedOrder order) {
    if (checksFencing && order.fence().compareTo(fence) < 0) {
      refused++;
      return false;
    }
    if (order.fence().compareTo(fence) > 0) {
      fence = order.fence();
    }
    accepted.addLast(order);
    if (accepted.size() > MAX_RECORDED_ORDERS) {
      accepted.removeFirst();
    }
    switch (order.type()) {
      case ReceivedOrder.LOAD_MODEL -> loading.add(order.target());
      case ReceivedOrder.LOAD_ADAPTER -> adapters.add(order.target());
      case ReceivedOrder.SET_VERSION -> version = order.target();
      case ReceivedOrder.SET_ROLE -> role = order.target();
      default -> throw new IllegalArgumentException("unknown type: " + order.type());
    }
    return true;
  }

  synchronized void finishLoading(String model) {
    if (loading.remove(model)) {
      models.add(model);
    }
  }

  synchronized boolean hasModel(String model) {
    return models.contains(model);
  }

  synchronized OrderedEngineState state() {
    return new OrderedEngineState(
        List.copyOf(models),
        List.copyOf(loading),
        List.copyOf(adapters),
        version,
        role,
        fence,
        List.copyOf(accepted),
        refused);
  }
}
