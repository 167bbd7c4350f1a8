package org.gentianslip.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Applies orders to the state of an engine.
 *
 * <p>If fences are checked, the fence of accepted orders never falls. Safe for use by several
 * threads.
 */
final class OrderBook {

  private static final int MAX_ACCEPTED = 1000;

  private final boolean checksFencing;
  private final Set<String> models;
  private final Set<String> loading = new LinkedHashSet<>();
  private final Set<String> adapters = new LinkedHashSet<>();
  private final Deque<EngineOrder> accepted = new ArrayDeque<>();
  private String version = "";
  private String role = "";
  private Fence fence = new Fence(0, 0);
  private long refused;

  OrderBook(boolean checksFencing, List<String> models) {
    this.checksFencing = checksFencing;
    this.models = new LinkedHashSet<>(models);
  }

  /** Applies an order and returns whether it is accepted. */
  synchronized boolean apply(EngineOrder order) {
    if (checksFencing && order.fence().compareTo(fence) < 0) {
      refused++;
      return false;
    }
    if (order.fence().compareTo(fence) > 0) {
      fence = order.fence();
    }
    accepted.addLast(order);
    if (accepted.size() > MAX_ACCEPTED) {
      accepted.removeFirst();
    }
    switch (order.type()) {
      case EngineOrder.LOAD_MODEL -> loading.add(order.target());
      case EngineOrder.LOAD_ADAPTER -> adapters.add(order.target());
      case EngineOrder.SET_VERSION -> version = order.target();
      case EngineOrder.SET_ROLE -> role = order.target();
      default -> throw new IllegalArgumentException("type is unknown: " + order.type());
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

  synchronized EngineState state() {
    return new EngineState(
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
