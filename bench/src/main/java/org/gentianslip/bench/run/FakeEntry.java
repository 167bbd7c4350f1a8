package org.gentianslip.bench.run;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.bench.fleet.EngineJob;
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
 * Drives the decision code as an entry does: admits requests, places them and hears of their end.
 *
 * <p>It holds no decisions of its own. For one thread.
 */
final class FakeEntry {

  /** The model that all requests of the bench name. */
  static final ModelId MODEL = ModelId.of("bench-model");

  private static final Set<ModelId> MODELS = Set.of(MODEL);
  private static final long POLL_NANOS = Dispatcher.POLL_MILLIS * 1_000_000L;
  private static final int MAX_ATTEMPTS = 2;
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final int RETRIES_SAVED = 10;

  private final RegionId region;
  private final EventLoop loop;
  private final long engineDelayNanos;
  private final FakeNetwork network;
  private final RoutingPolicy policy;
  private final Optional<Dispatcher> dispatcher;
  private final Optional<RequestQueue> queue;
  private final RetryBudget retries = RetryBudget.of(RETRIES_PER_REQUEST, RETRIES_SAVED);
  private final Map<EngineId, EngineSlot> engines = new LinkedHashMap<>();
  private final Map<RegionId, RegionSlot> regions = new LinkedHashMap<>();
  private final Map<RequestId, Call> waiting = new HashMap<>();
  private boolean polling;

  FakeEntry(
      RegionId region,
      EventLoop loop,
      long engineDelayNanos,
      FakeNetwork network,
      Contender contender,
      long seed) {
    this.region = region;
    this.loop = loop;
    this.engineDelayNanos = engineDelayNanos;
    this.network = network;
    this.policy = contender.policy().apply(seed);
    this.queue = contender.queue().map(limits -> RequestQueue.of(limits, c -> 1));
    this.dispatcher = queue.map(q -> Dispatcher.of(q, policy));
  }

  RegionId region() {
    return region;
  }

  void addEngine(EngineSlot engine) {
    engines.put(engine.engine().id(), engine);
  }

  void addRegion(RegionId id, RegionSlot slot) {
    regions.put(id, slot);
  }

  List<EngineSlot> engines() {
    return List.copyOf(engines.values());
  }

  RegionSlot regionSlot(RegionId id) {
    return regions.get(id);
  }

  /** Returns the requests that the entry could send on at once, by the last reports. */
  int freeSlots() {
    int free = 0;
    for (EngineSlot engine : engines.values()) {
      free += engine.free();
    }
    int backlog = queue.map(q -> q.size(Rank.URGENT) + q.size(Rank.OTHER)).orElse(0);
    return backlog > 0 ? 0 : free;
  }

  /** Admits a caller's request. */
  void receive(Call call) {
    retries.requestStarted();
    admit(call, call.request());
  }

  /** Admits a request that another region sent. */
  void receiveForwarded(Call call) {
    RoutingRequest own = call.request();
    admit(
        call,
        new RoutingRequest(
            own.id(),
            own.customer(),
            own.kind(),
            own.rank(),
            own.model(),
            own.prefixDigest(),
            own.promptTokens(),
            own.maxTokens(),
            loop.nowNanos(),
            own.deadlineNanos() - network.oneWayNanos(),
            own.allowedRegions(),
            true));
  }

  /** Applies what is new about engines and regions. */
  void pump() {
    if (dispatcher.isEmpty()) {
      return;
    }
    Dispatcher current = dispatcher.get();
    for (RoutingRequest expired : current.expire(loop.nowNanos())) {
      Call call = waiting.remove(expired.id());
      call.setWaited();
      refuse(call);
    }
    Optional<Placement> placed = current.next(loop.nowNanos(), view());
    while (placed.isPresent()) {
      Placement placement = placed.get();
      Call call = waiting.remove(placement.request().id());
      carryOut(call, placement.decision());
      placed = current.next(loop.nowNanos(), view());
    }
    poll();
  }

  /** Hears that another region refused a call that this entry had sent there. */
  void onRemoteRefusal(Call call, RegionId from) {
    regions.get(from).onRefused(loop.nowNanos());
    retry(call);
  }

  /** Hears that a call was lost before its first token. */
  void onLost(Call call) {
    retry(call);
  }

  private void retry(Call call) {
    if (call.nextAttempt() >= MAX_ATTEMPTS || !retries.tryTake()) {
      call.setWaited();
      network.refused(call);
      return;
    }
    network.retried();
    admit(call, call.request());
  }

  private void admit(Call call, RoutingRequest request) {
    if (dispatcher.isEmpty()) {
      carryOut(call, policy.decide(loop.nowNanos(), request, view()));
      return;
    }
    OfferResult result = dispatcher.get().offer(loop.nowNanos(), request);
    if (result instanceof OfferResult.Refused) {
      refuse(call);
      return;
    }
    if (result instanceof OfferResult.AcceptedByDisplacing instead) {
      Call displaced = waiting.remove(instead.displaced().id());
      displaced.setWaited();
      refuse(displaced);
    }
    waiting.put(request.id(), call);
    pump();
  }

  private void poll() {
    if (polling || waiting.isEmpty()) {
      return;
    }
    polling = true;
    loop.after(
        POLL_NANOS,
        () -> {
          polling = false;
          pump();
        });
  }

  private void carryOut(Call call, RoutingDecision decision) {
    if (decision instanceof RoutingDecision.ToEngine to) {
      send(call, engines.get(to.engine()));
    } else if (decision instanceof RoutingDecision.ToRegion to) {
      long bytes = network.promptBytes(call) + network.answerBytes(call);
      regions.get(to.region()).onSend(loop.nowNanos(), bytes);
      network.forward(call, to.region());
    } else {
      refuse(call);
    }
  }

  private void refuse(Call call) {
    if (call.origin() == this) {
      network.refused(call);
    } else {
      network.refusedRemotely(call, region);
    }
  }

  private void send(Call call, EngineSlot slot) {
    slot.onSend();
    var arrival = call.arrival();
    var job =
        new EngineJob(
            arrival.kind().rank(),
            arrival.prefix(),
            arrival.kind().prefixTokens(),
            arrival.kind().promptTokens(),
            arrival.answerTokens(),
            new Listener(call, slot));
    loop.after(engineDelayNanos, () -> slot.engine().submit(job));
  }

  private RoutingView view() {
    long now = loop.nowNanos();
    List<EngineView> engineViews = new ArrayList<>(engines.size());
    engines.values().forEach(e -> engineViews.add(e.view(now, MODELS)));
    List<RegionSummary> summaries = new ArrayList<>(regions.size());
    regions.values().forEach(r -> summaries.add(r.summary(now)));
    return new RoutingView(region, engineViews, summaries);
  }

  /** Hears of a request's progress at the engine and tells the entry after the delay. */
  private final class Listener implements EngineJob.Listener {

    private final Call call;
    private final EngineSlot slot;
    private boolean started;

    private Listener(Call call, EngineSlot slot) {
      this.call = call;
      this.slot = slot;
    }

    @Override
    public void onRefused() {
      end(
          () -> {
            slot.onRefused(loop.nowNanos());
            if (!slot.engine().isUp()) {
              slot.onLost();
            }
            lostBeforeStart();
          });
    }

    @Override
    public void onFirstToken() {
      started = true;
      loop.after(engineDelayNanos, () -> network.firstToken(call, FakeEntry.this));
    }

    @Override
    public void onDone() {
      end(() -> network.done(call));
    }

    @Override
    public void onLost() {
      end(
          () -> {
            slot.onLost();
            if (started) {
              network.failed(call);
            } else {
              lostBeforeStart();
            }
          });
    }

    private void lostBeforeStart() {
      if (call.origin() == FakeEntry.this) {
        FakeEntry.this.onLost(call);
      } else {
        network.refusedRemotely(call, region);
      }
    }

    private void end(Runnable action) {
      loop.after(
          engineDelayNanos,
          () -> {
            slot.onEnd();
            dispatcher.ifPresent(d -> d.ended(loop.nowNanos(), call.request()));
            action.run();
            pump();
          });
    }
  }
}
