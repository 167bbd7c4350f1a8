package org.gentianslip.core.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * Simulates several instances that send orders to engines while lists change and instances fail.
 *
 * <p>Each instance has a clock of its own that runs up to 5 % too fast or too slow.
 */
final class OrderSimulation {

  static final int INSTANCES = 4;

  private static final long MILLI = 1_000_000L;
  private static final OrderTimes TIMES =
      OrderTimes.of(Duration.ofSeconds(3), Duration.ofMillis(500), Duration.ofSeconds(1));
  private static final long MAX_DELAY_NANOS = 20_000 * MILLI;
  private static final List<EngineId> ENGINES =
      IntStream.range(0, 3).mapToObj(i -> EngineId.of("engine-" + i)).toList();

  /** An order that an engine has accepted. */
  record AcceptedOrder(EngineOrder order, int instance, boolean isLate) {}

  /** An order in transit. */
  private record OrderInTransit(
      EngineOrder order, int instance, long arrivalNanos, boolean isLate) {}

  /** A request that reads the list; the service answers between its start and its end. */
  private record ListRead(long sentNanos, AuthorView answer) {}

  private static final class Engine {
    final List<AcceptedOrder> acceptedOrders = new ArrayList<>();
    Set<String> models = Set.of();
    String version = "";
    String role = "";
    Fence fence = Fence.NONE;
  }

  private static final class Instance {
    final InstanceId id;
    final double rate;
    OrderController controller;
    long pausedUntilNanos;
    long cutOffUntilNanos;
    ListRead read;
    DesiredEngineState target;
    Map<EngineId, ObservedEngineState> observedStates = new HashMap<>();
    Map<EngineId, OrderDecision.Send> preparedOrders = new HashMap<>();
    Map<EngineId, Long> writtenNanos = new HashMap<>();
    long version;

    Instance(int index, double rate) {
      this.id = InstanceId.of("instance-" + index);
      this.rate = rate;
    }
  }

  final List<Long> loadNanos = new ArrayList<>();
  private final Random random;
  private final double loadsPerSecond;
  private final boolean checksFence;
  private final boolean delaysOrders;
  private final List<Instance> instances = new ArrayList<>();
  private final Map<EngineId, Engine> engines = new HashMap<>();
  private final List<OrderInTransit> ordersInTransit = new ArrayList<>();
  private long nowNanos;
  private long listVersion;
  private List<InstanceId> live = List.of();
  private long serviceDownUntilNanos;
  private DesiredEngineState target;

  /**
   * Creates a simulation.
   *
   * @param loadsPerSecond the loads per second that the weight store allows
   * @param checksFence whether the engines refuse orders with a lower fence
   * @param delaysOrders whether some orders arrive long after they were written
   */
  OrderSimulation(long seed, double loadsPerSecond, boolean checksFence, boolean delaysOrders) {
    this.loadsPerSecond = loadsPerSecond;
    this.random = new Random(seed);
    this.checksFence = checksFence;
    this.delaysOrders = delaysOrders;
    changeTarget();
    for (int i = 0; i < INSTANCES; i++) {
      var instance = new Instance(i, 0.95 + random.nextDouble() / 10);
      instances.add(instance);
      restart(instance);
    }
    ENGINES.forEach(id -> engines.put(id, new Engine()));
    publish();
  }

  List<AcceptedOrder> acceptedOrders(int engine) {
    return engines.get(ENGINES.get(engine)).acceptedOrders;
  }

  int engineCount() {
    return ENGINES.size();
  }

  /** Returns the engines that do not have their desired state. */
  List<EngineId> notInDesiredState() {
    return ENGINES.stream().filter(id -> !isInDesiredState(engines.get(id))).toList();
  }

  /** Simulates one random event. */
  void step() {
    var instance = instances.get(random.nextInt(INSTANCES));
    int event = random.nextInt(10_000);
    if (event < 80) {
      injectFault(event, instance);
    } else if (event < 2500) {
      advance(random.nextInt(20) * MILLI);
    } else if (event < 3500) {
      serveList(instance);
    } else if (!isPaused(instance)) {
      act(instance);
    }
  }

  /** Ends all failures and lets time pass until the engines can reach their desired state. */
  void recoverAndSettle() {
    serviceDownUntilNanos = 0;
    instances.forEach(
        instance -> {
          instance.pausedUntilNanos = 0;
          instance.cutOffUntilNanos = 0;
        });
    live = instances.stream().map(instance -> instance.id).toList();
    listVersion++;
    long end = nowNanos + MAX_DELAY_NANOS + 2 * TIMES.quietNanos() + 30_000 * MILLI;
    while (nowNanos < end) {
      advance(100 * MILLI);
      for (var instance : instances) {
        instance.target = target;
        beginListRead(instance);
        serveList(instance);
        endListRead(instance);
        for (var engine : ENGINES) {
          endOrder(instance, engine);
          readEngine(instance, engine);
          decide(instance, engine);
          write(instance, engine);
        }
      }
    }
  }

  private void injectFault(int event, Instance instance) {
    long end = nowNanos + random.nextInt(6000) * MILLI;
    if (event < 3) {
      publish();
    } else if (event < 5) {
      serviceDownUntilNanos = end;
    } else if (event < 10) {
      instance.cutOffUntilNanos = end;
    } else if (event < 20) {
      instance.pausedUntilNanos = end;
    } else if (event < 22) {
      restart(instance);
    } else if (event < 25) {
      changeTarget();
    } else {
      engines.get(ENGINES.get(random.nextInt(ENGINES.size()))).models = Set.of();
    }
  }

  private void act(Instance instance) {
    var engine = ENGINES.get(random.nextInt(ENGINES.size()));
    switch (random.nextInt(8)) {
      case 0 -> beginListRead(instance);
      case 1 -> endListRead(instance);
      case 2 -> readEngine(instance, engine);
      case 3, 4 -> decide(instance, engine);
      case 5 -> write(instance, engine);
      case 6 -> endOrder(instance, engine);
      default -> receiveUpdates(instance);
    }
  }

  private void receiveUpdates(Instance instance) {
    instance.target = target;
    sendListVersion(instances.get(random.nextInt(INSTANCES)), instance);
  }

  private boolean isPaused(Instance instance) {
    return instance.pausedUntilNanos > nowNanos;
  }

  private boolean isCutOff(Instance instance) {
    return instance.cutOffUntilNanos > nowNanos;
  }

  private long localTime(Instance instance) {
    return (long) (nowNanos * instance.rate);
  }

  private void advance(long nanos) {
    nowNanos += nanos;
    ordersInTransit.stream().filter(o -> o.arrivalNanos <= nowNanos).forEach(this::deliver);
    ordersInTransit.removeIf(o -> o.arrivalNanos <= nowNanos);
  }

  private void publish() {
    listVersion += 1 + random.nextInt(2);
    live = instances.stream().map(i -> i.id).filter(id -> random.nextInt(3) > 0).toList();
  }

  private void restart(Instance instance) {
    instance.controller = new OrderController(instance.id, TIMES, loadsPerSecond);
    instance.read = null;
    instance.target = target;
    instance.version = 0;
    instance.observedStates = new HashMap<>();
    instance.preparedOrders = new HashMap<>();
    instance.writtenNanos = new HashMap<>();
  }

  private void changeTarget() {
    target =
        new DesiredEngineState(
            Set.of("model-" + random.nextInt(3), "model-" + random.nextInt(3) + "b"),
            Set.of(),
            "version-" + random.nextInt(3),
            "role-" + random.nextInt(2));
  }

  private void beginListRead(Instance instance) {
    if (!isCutOff(instance) && instance.read == null) {
      instance.read = new ListRead(localTime(instance), null);
    }
  }

  private void serveList(Instance instance) {
    if (serviceDownUntilNanos > nowNanos
        || instance.read == null
        || instance.read.answer() != null) {
      return;
    }
    long sent = instance.read.sentNanos();
    var answer = new AuthorView(listVersion, live, ENGINES, ENGINES.size(), sent);
    instance.read = new ListRead(sent, answer);
  }

  private void endListRead(Instance instance) {
    if (instance.read != null && instance.read.answer() != null) {
      instance.controller.onList(instance.read.answer(), localTime(instance));
      instance.version = Math.max(instance.version, instance.read.answer().version());
      instance.read = null;
    }
  }

  private void sendListVersion(Instance from, Instance to) {
    if (!isCutOff(from) && !isCutOff(to) && !isPaused(to)) {
      to.controller.onLaterVersion(from.version);
    }
  }

  private void readEngine(Instance instance, EngineId id) {
    var engine = engines.get(id);
    instance.observedStates.put(
        id,
        new ObservedEngineState(
            engine.models,
            Set.of(),
            engine.version,
            engine.role,
            checksFence ? engine.fence : Fence.NONE,
            checksFence,
            localTime(instance)));
  }

  private void decide(Instance instance, EngineId id) {
    if (!instance.observedStates.containsKey(id) || instance.writtenNanos.containsKey(id)) {
      return;
    }
    var observed = instance.observedStates.get(id);
    var decision = instance.controller.decide(id, observed, instance.target, localTime(instance));
    if (decision instanceof OrderDecision.Send send) {
      instance.preparedOrders.put(id, send);
    }
  }

  private void write(Instance instance, EngineId id) {
    var send = instance.preparedOrders.remove(id);
    if (send == null || !instance.controller.mayWrite(send, localTime(instance))) {
      return;
    }
    instance.writtenNanos.put(id, localTime(instance));
    if (send.order().type().readsWeights()) {
      loadNanos.add(nowNanos);
    }
    boolean isLate = delaysOrders && random.nextInt(20) == 0;
    long maxTransitNanos = isLate ? MAX_DELAY_NANOS : (long) (TIMES.orderLifeNanos() * 0.9);
    long arrival = nowNanos + (long) (random.nextDouble() * maxTransitNanos);
    ordersInTransit.add(
        new OrderInTransit(send.order(), instances.indexOf(instance), arrival, isLate));
  }

  private void endOrder(Instance instance, EngineId id) {
    Long written = instance.writtenNanos.get(id);
    if (written != null && localTime(instance) - written > TIMES.orderLifeNanos()) {
      instance.writtenNanos.remove(id);
      instance.controller.onOrderEnded(id, localTime(instance));
    }
  }

  private void deliver(OrderInTransit transit) {
    var order = transit.order();
    var engine = engines.get(order.engine());
    if (checksFence && order.fence().compareTo(engine.fence) < 0) {
      return;
    }
    engine.fence = order.fence();
    engine.acceptedOrders.add(new AcceptedOrder(order, transit.instance(), transit.isLate()));
    switch (order.type()) {
      case SET_ROLE -> engine.role = order.target();
      case SET_VERSION -> engine.version = order.target();
      default -> {
        var models = new HashSet<>(engine.models);
        models.add(order.target());
        engine.models = Set.copyOf(models);
      }
    }
  }

  private boolean isInDesiredState(Engine engine) {
    return engine.role.equals(target.role())
        && engine.version.equals(target.version())
        && engine.models.containsAll(target.models());
  }
}
