package org.gentianslip.entry.order;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.order.AuthorView;
import org.gentianslip.core.order.DesiredEngineState;
import org.gentianslip.core.order.ObservedEngineState;
import org.gentianslip.core.order.OrderController;
import org.gentianslip.core.order.OrderDecision;
import org.gentianslip.core.order.OrderReason;
import org.gentianslip.core.order.OrderTimes;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.configservice.InstanceList;
import org.gentianslip.entry.configservice.InstanceRecord;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.SettingCatalog;

/**
 * Sends the orders of this instance, one engine after the other.
 *
 * <p>The order controller is used under its own lock, which is not held during a call. {@link
 * #sendDue} is called by one thread; the other methods are safe for use by several threads.
 */
public final class EngineOrderSender {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final double SECONDS_PER_MINUTE = 60;

  private final FleetState state;
  private final EngineClient engineClient;
  private final OrderController controller;
  private final Map<EngineId, String> lastReasons = new ConcurrentHashMap<>();

  /** Creates the sender for a new incarnation, which has sent no orders. */
  public EngineOrderSender(FleetState state, OkHttpClient client, OrderTimes times) {
    this.state = state;
    this.engineClient = new EngineClient(client, Duration.ofNanos(times.orderLifeNanos()));
    this.controller =
        new OrderController(
            state.config().instance(),
            times,
            SettingCatalog.WEIGHT_STORE_LOADS_PER_MINUTE.defaultValue() / SECONDS_PER_MINUTE);
  }

  /**
   * Applies an instance list that the config service has confirmed as current.
   *
   * @param sentNanos when the request that confirmed it was sent, in nanoseconds of the monotonic
   *     clock
   */
  public void onListConfirmed(InstanceList list, long sentNanos) {
    String region = state.config().region().value();
    List<InstanceId> instances =
        list.entries().stream()
            .filter(e -> e.live() && e.region().equals(region))
            .map(InstanceRecord::id)
            .map(InstanceId::of)
            .toList();
    List<EngineId> regionEngines =
        modelEngines(list).stream().map(b -> EngineId.of(b.id())).toList();
    int engineCount = (int) list.backends().stream().filter(BackendRecord::model).count();
    var view = new AuthorView(list.version(), instances, regionEngines, engineCount, sentNanos);
    synchronized (controller) {
      controller.onList(view, System.nanoTime());
    }
  }

  /**
   * Decides about every engine that this instance is the author of, and sends the orders that are
   * due.
   */
  public void sendDue() {
    var settings = state.settings();
    if (settings == null || state.leaving()) {
      return;
    }
    EffectiveSettings effective = settings.effectiveForInstance(state.config().region());
    DesiredEngineState desiredState = desiredState(effective);
    synchronized (controller) {
      double rate =
          effective.get(SettingCatalog.WEIGHT_STORE_LOADS_PER_MINUTE) / SECONDS_PER_MINUTE;
      controller.onStoreRate(rate, System.nanoTime());
    }
    for (BackendRecord engine : modelEngines(state.instanceList())) {
      decideAndSend(engine, EngineId.of(engine.id()), desiredState);
    }
  }

  /** Returns for each engine why no order was sent last time, or {@code sent} if one was. */
  public Map<String, String> lastReasons() {
    Map<String, String> reasons = new TreeMap<>();
    lastReasons.forEach((engine, reason) -> reasons.put(engine.value(), reason));
    return reasons;
  }

  private void decideAndSend(BackendRecord engine, EngineId id, DesiredEngineState desiredState) {
    if (desiredState.isEmpty() || !isAuthor(id)) {
      recordReason(id, desiredState.isEmpty() ? OrderReason.AT_TARGET : OrderReason.NOT_AUTHOR);
      return;
    }
    try {
      ObservedEngineState observedState = engineClient.readState(engine);
      OrderDecision decision;
      synchronized (controller) {
        controller.onLaterVersion(state.maxPeerListVersion());
        decision = controller.decide(id, observedState, desiredState, System.nanoTime());
      }
      if (decision instanceof OrderDecision.Send send) {
        sendOrder(engine, send);
      } else if (decision instanceof OrderDecision.Refrain refrain) {
        recordReason(id, refrain.reason());
      }
    } catch (IOException e) {
      recordReason(id, OrderReason.STATE_NOT_READ);
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "order: The state of engine %s could not be read: %s", id, e.getMessage());
    }
  }

  private void sendOrder(BackendRecord engine, OrderDecision.Send send) {
    var order = send.order();
    lastReasons.put(order.engine(), "sent");
    try {
      int status = engineClient.send(engine, order, () -> mayWrite(send));
      LOGGER.atInfo().log(
          "order: Engine %s responded to the order %s %s with status %d.",
          order.engine(), order.type().text(), order.target(), status);
    } catch (IOException e) {
      LOGGER.atWarning().log(
          "order: Engine %s did not respond: %s", order.engine(), e.getMessage());
    } finally {
      synchronized (controller) {
        controller.onOrderEnded(order.engine(), System.nanoTime());
      }
    }
  }

  private boolean mayWrite(OrderDecision.Send send) {
    synchronized (controller) {
      controller.onLaterVersion(state.maxPeerListVersion());
      return controller.mayWrite(send, System.nanoTime());
    }
  }

  private boolean isAuthor(EngineId engine) {
    synchronized (controller) {
      return controller.isAuthor(engine);
    }
  }

  private void recordReason(EngineId engine, OrderReason reason) {
    lastReasons.put(engine, reason.name().toLowerCase(Locale.ROOT));
  }

  private List<BackendRecord> modelEngines(InstanceList list) {
    String region = state.config().region().value();
    return list.backends().stream()
        .filter(b -> b.model() && b.live() && b.region().equals(region))
        .toList();
  }

  private static DesiredEngineState desiredState(EffectiveSettings effective) {
    return new DesiredEngineState(
        effective.get(SettingCatalog.ENGINE_MODELS),
        effective.get(SettingCatalog.ENGINE_ADAPTERS),
        effective.get(SettingCatalog.ENGINE_VERSION),
        effective.get(SettingCatalog.ENGINE_ROLE));
  }
}
