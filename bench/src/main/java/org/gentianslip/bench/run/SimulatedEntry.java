package org.gentianslip.bench.run;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.bench.fleet.EngineRequest;
import org.gentianslip.bench.time.EventLoop;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.outcome.RetryBudget;
import org.gentianslip.core.queue.Dispatcher;
import org.gentianslip.core.queue.OfferResult;
import org.gentianslip.core.queue.Placement;
import org.gentianslip.core.queue.RequestQueue;
import org.gentianslip.core.routing.EngineView;
import org.gentianslip.core.routing.RegionSummary;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.core.routing.RoutingPolicy;
import org.gentianslip.core.routing.RoutingRequest;
import org.gentianslip.core.routing.RoutingView;

/**
 * A simulated entry instance, which runs the production code for queueing and routing.
 *
 * <p>It admits requests, carries out the decisions and records the ends of requests, but decides
 * nothing itself. Not thread-safe.
 */
final class SimulatedEntry {

  /** The model that all simulated requests use. */
  static final ModelId MODEL = ModelId.of("bench-model");

  private static final Set<ModelId> MODELS = Set.of(MODEL);
  private static final long POLL_NANOS = Dispatcher.POLL_MILLIS * 1_000_000L;
  private static final int MAX_ATTEMPTS = 2;
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final int MAX_SAVED_RETRIES = 10;

  private final RegionId region;
  private final EventLoop loop;
  private final long engineOneWayNanos;
  private final SimulatedNetwork network;
  private final RoutingPolicy policy;
  private final Optional<Dispatcher> dispatcher;
  private final Optional<RequestQueue> queue;
  private final RetryBudget retries = RetryBudget.of(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);
  private final Map<EngineId, EngineTracker> engines = new LinkedHashMap<>();
  private final Map<RegionId, RegionTracker> regions = new LinkedHashMap<>();
  private final Map<RequestId, SimulatedCall> waiting = new HashMap<>();
  private boolean pollScheduled;

  SimulatedEntry(
      RegionId region,
      EventLoop loop,
      long engineOneWayNanos,
      SimulatedNetwork network,
      PolicySetup setup,
      long seed) {
    this.region = region;
    this.loop = loop;
    this.engineOneWayNanos = engineOneWayNanos;
    this.network = network;
    this.policy = setup.policyFactory().apply(seed);
    this.queue = setup.queueLimits().map(limits -> RequestQueue.of(limits, c -> 1));
    this.dispatcher = queue.map(q -> Dispatcher.of(q, policy));
  }

  RegionId region() {
    return region;
  }

  void addEngine(EngineTracker engine) {
    engines.put(engine.engine().id(), engine);
  }

  void addRegion(RegionId id, RegionTracker tracker) {
    regions.put(id, tracker);
  }

  List<EngineTracker> engines() {
    return List.copyOf(engines.values());
  }

  RegionTracker regionTracker(RegionId id) {
    return regions.get(id);
  }

  /** Returns the number of free slots by the last reports, or 0 while requests are queued. */
  int freeSlots() {
    int totalFreeSlots = 0;
    for (EngineTracker engine : engines.values()) {
      totalFreeSlots += engine.freeSlots();
    }
    int backlog = queue.map(q -> q.size(Rank.URGENT) + q.size(Rank.OTHER)).orElse(0);
    return backlog > 0 ? 0 : totalFreeSlots;
  }

  /** Admits a request from a caller. */
  void receive(SimulatedCall call) {
    retries.recordRequest();
    admit(call, call.request());
  }

  /** Admits a request forwarded by another region. */
  void receiveForwarded(SimulatedCall call) {
    RoutingRequest original = call.request();
    admit(
        call,
        new RoutingRequest(
            original.id(),
            original.customer(),
            original.kind(),
            original.rank(),
            original.model(),
            original.prefixDigest(),
            original.promptTokens(),
            original.maxTokens(),
            loop.nowNanos(),
            original.deadlineNanos() - network.interRegionOneWayNanos(),
            original.allowedRegions(),
            true));
  }

  /**
   * Refuses expired requests, and dispatches queued requests as far as the current state of engines
   * and regions allows.
   */
  void dispatchQueued() {
    if (dispatcher.isEmpty()) {
      return;
    }
    Dispatcher current = dispatcher.get();
    for (RoutingRequest expired : current.expire(loop.nowNanos())) {
      SimulatedCall call = waiting.remove(expired.id());
      call.setWaited();
      refuse(call);
    }
    Optional<Placement> placed = current.next(loop.nowNanos(), view());
    while (placed.isPresent()) {
      Placement placement = placed.get();
      SimulatedCall call = waiting.remove(placement.request().id());
      execute(call, placement.decision());
      placed = current.next(loop.nowNanos(), view());
    }
    schedulePoll();
  }

  /** Handles the refusal of a call that this entry forwarded to another region. */
  void onRemoteRefusal(SimulatedCall call, RegionId from) {
    regions.get(from).onRefused(loop.nowNanos());
    retry(call);
  }

  /** Handles the loss of a call before its first token. */
  void onLost(SimulatedCall call) {
    retry(call);
  }

  private void retry(SimulatedCall call) {
    if (call.nextAttempt() >= MAX_ATTEMPTS || !retries.tryTake()) {
      call.setWaited();
      network.refuse(call);
      return;
    }
    network.recordRetry();
    admit(call, call.request());
  }

  private void admit(SimulatedCall call, RoutingRequest request) {
    if (dispatcher.isEmpty()) {
      execute(call, policy.decide(loop.nowNanos(), request, view()));
      return;
    }
    OfferResult result = dispatcher.get().offer(loop.nowNanos(), request);
    if (result instanceof OfferResult.Refused) {
      refuse(call);
      return;
    }
    if (result instanceof OfferResult.AcceptedByDisplacing accepted) {
      SimulatedCall displaced = waiting.remove(accepted.displaced().id());
      displaced.setWaited();
      refuse(displaced);
    }
    waiting.put(request.id(), call);
    dispatchQueued();
  }

  private void schedulePoll() {
    if (pollScheduled || waiting.isEmpty()) {
      return;
    }
    pollScheduled = true;
    loop.after(
        POLL_NANOS,
        () -> {
          pollScheduled = false;
          dispatchQueued();
        });
  }

  private void execute(SimulatedCall call, RoutingDecision decision) {
    if (decision instanceof RoutingDecision.ToEngine to) {
      sendToEngine(call, engines.get(to.engine()));
    } else if (decision instanceof RoutingDecision.ToRegion to) {
      long bytes = network.promptBytes(call) + network.answerBytes(call);
      regions.get(to.region()).onSend(loop.nowNanos(), bytes);
      network.forward(call, to.region());
    } else {
      refuse(call);
    }
  }

  private void refuse(SimulatedCall call) {
    if (call.origin() == this) {
      network.refuse(call);
    } else {
      network.sendRefusal(call, region);
    }
  }

  private void sendToEngine(SimulatedCall call, EngineTracker tracker) {
    tracker.onSend();
    var arrival = call.arrival();
    var request =
        new EngineRequest(
            arrival.kind().rank(),
            arrival.prefixDigest(),
            arrival.kind().prefixTokens(),
            arrival.kind().promptTokens(),
            arrival.answerTokens(),
            new Listener(call, tracker));
    loop.after(engineOneWayNanos, () -> tracker.engine().submit(request));
  }

  private RoutingView view() {
    long nowNanos = loop.nowNanos();
    List<EngineView> engineViews = new ArrayList<>(engines.size());
    engines.values().forEach(engine -> engineViews.add(engine.view(nowNanos, MODELS)));
    List<RegionSummary> summaries = new ArrayList<>(regions.size());
    regions.values().forEach(tracker -> summaries.add(tracker.summary(nowNanos)));
    return new RoutingView(region, engineViews, summaries);
  }

  /**
   * Passes the progress of a request from the engine to the entry, after the delay between them.
   */
  private final class Listener implements EngineRequest.Listener {

    private final SimulatedCall call;
    private final EngineTracker tracker;
    private boolean started;

    private Listener(SimulatedCall call, EngineTracker tracker) {
      this.call = call;
      this.tracker = tracker;
    }

    @Override
    public void onRefused() {
      endAfterDelay(
          () -> {
            tracker.onRefused(loop.nowNanos());
            if (!tracker.engine().isUp()) {
              tracker.onLost();
            }
            onLostBeforeStart();
          });
    }

    @Override
    public void onFirstToken() {
      started = true;
      loop.after(engineOneWayNanos, () -> network.sendFirstToken(call, SimulatedEntry.this));
    }

    @Override
    public void onComplete() {
      endAfterDelay(() -> network.complete(call));
    }

    @Override
    public void onLost() {
      endAfterDelay(
          () -> {
            tracker.onLost();
            if (started) {
              network.fail(call);
            } else {
              onLostBeforeStart();
            }
          });
    }

    private void onLostBeforeStart() {
      if (call.origin() == SimulatedEntry.this) {
        SimulatedEntry.this.onLost(call);
      } else {
        network.sendRefusal(call, region);
      }
    }

    private void endAfterDelay(Runnable action) {
      loop.after(
          engineOneWayNanos,
          () -> {
            tracker.onEnd();
            dispatcher.ifPresent(d -> d.recordEnd(loop.nowNanos(), call.request()));
            action.run();
            dispatchQueued();
          });
    }
  }
}
