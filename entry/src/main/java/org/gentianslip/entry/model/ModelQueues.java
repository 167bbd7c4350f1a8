package org.gentianslip.entry.model;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.queue.Dispatcher;
import org.gentianslip.core.queue.QueueLimits;
import org.gentianslip.core.queue.RequestQueue;
import org.gentianslip.core.routing.RoutingPolicy;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.BranchLevel;
import org.gentianslip.settings.Customer;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.Scope;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;

/**
 * Holds one dispatcher for each model.
 *
 * <p>When the queue limits change in the settings, all dispatchers are replaced by new, empty ones,
 * and the caller of {@link #applyLimits} must queue the waiting requests again. Safe for use by
 * several threads.
 */
final class ModelQueues {

  private static final long EXPECTED_FIRST_TOKEN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final double BURST_WORK_TOKENS = 1_600;

  private final FleetState state;
  private final RoutingPolicy policy;
  private final Map<ModelId, Dispatcher> dispatchers = new ConcurrentHashMap<>();
  private QueueLimits limits;

  ModelQueues(FleetState state, RoutingPolicy policy) {
    this.state = state;
    this.policy = policy;
  }

  /**
   * Applies the limits of the settings in force.
   *
   * @return whether the limits have changed, so that all dispatchers are new and empty
   */
  synchronized boolean applyLimits() {
    Settings settings = state.settings();
    if (settings == null) {
      return false;
    }
    QueueLimits newLimits = limitsOf(settings.effectiveForInstance(state.config().region()));
    if (newLimits.equals(limits)) {
      return false;
    }
    limits = newLimits;
    dispatchers.clear();
    return true;
  }

  private static QueueLimits limitsOf(EffectiveSettings values) {
    return new QueueLimits(
        values.get(SettingCatalog.MAX_QUEUE_LENGTH),
        values.get(SettingCatalog.OTHER_FLOOR_SHARE),
        EXPECTED_FIRST_TOKEN_NANOS,
        BURST_WORK_TOKENS);
  }

  /** Returns the dispatcher of a model. */
  Dispatcher dispatcherOf(ModelId model) {
    return dispatchers.computeIfAbsent(model, m -> createDispatcher());
  }

  private synchronized Dispatcher createDispatcher() {
    if (limits == null) {
      limits = limitsOf(state.settings().effectiveForInstance(state.config().region()));
    }
    return Dispatcher.of(RequestQueue.of(limits, this::weightOf), policy);
  }

  private double weightOf(CustomerId customer) {
    Settings settings = state.settings();
    Scope scope =
        Scope.ALL
            .with(BranchLevel.REGION, state.config().region().value())
            .with(BranchLevel.CUSTOMER, customer.value());
    String firm = settings.customer(customer).map(Customer::firm).orElse("");
    return settings
        .effective(scope.with(BranchLevel.FIRM, firm))
        .get(SettingCatalog.CUSTOMER_WEIGHT);
  }

  Collection<Dispatcher> dispatchers() {
    return List.copyOf(dispatchers.values());
  }
}
