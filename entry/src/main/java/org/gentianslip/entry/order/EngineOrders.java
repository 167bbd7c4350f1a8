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
 * Gives the orders of this instance, one engine after the other.
 *
 * <p>The desk is used under its own lock, which is not held during a call. {@link #round} is called
 * by one thread; the rest is safe for use by several threads.
 */
public final class EngineOrders {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final double SECONDS_PER_MINUTE = 60;

  private final FleetState state;
  private final EngineClient engines;
  private final OrderController desk;
  private final Map<EngineId, String> lastReasons = new ConcurrentHashMap<>();

  /** Creates the orders of a new incarnation. */
  public EngineOrders(FleetState state, OkHttpClient client, OrderTimes times) {
    this.state = state;
    this.engines = new EngineClient(client, Duration.ofNanos(times.orderLifeNanos()));
    this.desk =
        new OrderController(
            state.place().instance(),
            times,
            SettingCatalog.WEIGHT_STORE_LOADS_PER_MINUTE.defaultValue() / SECONDS_PER_MINUTE);
  }

  /**
   * Takes a list that is confirmed.
   *
   * @param sentNanos when the call that confirmed it was sent, on the monotonic clock
   */
  public void confirmed(InstanceList list, long sentNanos) {
    String region = state.place().region().value();
    List<InstanceId> instances =
        list.entries().stream()
            .filter(e -> e.live() && e.region().equals(region))
            .map(InstanceRecord::id)
            .map(InstanceId::of)
            .toList();
    List<EngineId> own = models(list).stream().map(b -> EngineId.of(b.id())).toList();
    int all = (int) list.backends().stream().filter(BackendRecord::model).count();
    var view = new AuthorView(list.version(), instances, own, all, sentNanos);
    synchronized (desk) {
      desk.onList(view, System.nanoTime());
    }
  }

  /** Decides about every engine of which this instance is the author. */
  public void round() {
    var settings = state.settings();
    if (settings == null || state.leaving()) {
      return;
    }
    EffectiveSettings values = settings.effectiveForInstance(state.place().region());
    DesiredEngineState target = target(values);
    synchronized (desk) {
      double rate = values.get(SettingCatalog.WEIGHT_STORE_LOADS_PER_MINUTE) / SECONDS_PER_MINUTE;
      desk.onStoreRate(rate, System.nanoTime());
    }
    for (BackendRecord engine : models(state.instanceList())) {
      decide(engine, EngineId.of(engine.id()), target);
    }
  }

  /** Returns for each engine why it was last sent nothing, or that it was sent an order. */
  public Map<String, String> lastReasons() {
    Map<String, String> reasons = new TreeMap<>();
    lastReasons.forEach((engine, reason) -> reasons.put(engine.value(), reason));
    return reasons;
  }

  private void decide(BackendRecord engine, EngineId id, DesiredEngineState target) {
    if (target.isEmpty() || !isAuthor(id)) {
      note(id, target.isEmpty() ? OrderReason.AT_TARGET : OrderReason.NOT_AUTHOR);
      return;
    }
    try {
      ObservedEngineState condition = engines.read(engine);
      OrderDecision decision;
      synchronized (desk) {
        desk.onLaterVersion(state.peersListVersion());
        decision = desk.decide(id, condition, target, System.nanoTime());
      }
      if (decision instanceof OrderDecision.Send send) {
        send(engine, send);
      } else if (decision instanceof OrderDecision.Refrain refrain) {
        note(id, refrain.reason());
      }
    } catch (IOException e) {
      note(id, OrderReason.STATE_NOT_READ);
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "order: %s is not readable. %s", id, e.getMessage());
    }
  }

  private void send(BackendRecord engine, OrderDecision.Send send) {
    var order = send.order();
    lastReasons.put(order.engine(), "sent");
    try {
      int status = engines.send(engine, order, () -> mayWrite(send));
      LOGGER.atInfo().log(
          "order: %s %s %s got %d.", order.engine(), order.type().text(), order.target(), status);
    } catch (IOException e) {
      LOGGER.atWarning().log("order: %s got no answer. %s", order.engine(), e.getMessage());
    } finally {
      synchronized (desk) {
        desk.onOrderEnded(order.engine(), System.nanoTime());
      }
    }
  }

  private boolean mayWrite(OrderDecision.Send send) {
    synchronized (desk) {
      desk.onLaterVersion(state.peersListVersion());
      return desk.mayWrite(send, System.nanoTime());
    }
  }

  private boolean isAuthor(EngineId engine) {
    synchronized (desk) {
      return desk.isAuthor(engine);
    }
  }

  private void note(EngineId engine, OrderReason reason) {
    lastReasons.put(engine, reason.name().toLowerCase(Locale.ROOT));
  }

  private List<BackendRecord> models(InstanceList list) {
    String region = state.place().region().value();
    return list.backends().stream()
        .filter(b -> b.model() && b.live() && b.region().equals(region))
        .toList();
  }

  private static DesiredEngineState target(EffectiveSettings values) {
    return new DesiredEngineState(
        values.get(SettingCatalog.ENGINE_MODELS),
        values.get(SettingCatalog.ENGINE_ADAPTERS),
        values.get(SettingCatalog.ENGINE_VERSION),
        values.get(SettingCatalog.ENGINE_ROLE));
  }
}
