package org.gentianslip.bench.micro;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.hash.BitMixer;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.limit.EngineSubsetting;
import org.gentianslip.core.queue.Dispatcher;
import org.gentianslip.core.queue.QueueLimits;
import org.gentianslip.core.queue.RequestQueue;
import org.gentianslip.core.routing.EngineView;
import org.gentianslip.core.routing.ExpectedCostPolicy;
import org.gentianslip.core.routing.PolicyTuning;
import org.gentianslip.core.routing.RegionSummary;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.core.routing.RoutingRequest;
import org.gentianslip.core.routing.RoutingView;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures how long a routing decision takes in regions of several sizes.
 *
 * <p>An instance considers only the engines that {@link EngineSubsetting} assigns to it, or all
 * engines if {@code sharers} is 0. Not thread-safe.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmark {

  private static final int SLOTS = 16;
  private static final int REQUESTS = 1024;
  private static final int CUSTOMERS = 400;
  private static final int MODELS = 22;
  private static final int OTHER_REGIONS = 14;
  private static final long ROUND_TRIP_NANOS = 110_000_000;
  private static final RegionId REGION = RegionId.of("region-0");

  /** The numbers of entries and engines in the region, as {@code ENTRIESxENGINES}. */
  @Param({"3x3", "25x130", "73x380", "250x1300"})
  public String fleet;

  /** The maximum number of instances that share an engine, or 0 if all of them do. */
  @Param({"8", "0"})
  public int sharers;

  private final RoutingRequest[] requests = new RoutingRequest[REQUESTS];
  private ExpectedCostPolicy policy;
  private Dispatcher dispatcher;
  private RoutingView view;
  private int next;

  /** Creates the view of the region and the requests. */
  @Setup
  public void prepare() {
    String[] size = fleet.split("x", 2);
    policy = ExpectedCostPolicy.of(1, request -> PolicyTuning.DEFAULT);
    view = view(Integer.parseInt(size[0]), Integer.parseInt(size[1]));
    Set<RegionId> allowed = new HashSet<>(Set.of(REGION));
    view.regions().forEach(summary -> allowed.add(summary.region()));
    for (int i = 0; i < REQUESTS; i++) {
      requests[i] = request(i, allowed);
    }
    dispatcher =
        Dispatcher.of(RequestQueue.of(new QueueLimits(512, 0.15, 0, 1600), c -> 1), policy);
  }

  /** Decides where to route one request. */
  @Benchmark
  public RoutingDecision decide() {
    return policy.decide(0, requests[next++ & (REQUESTS - 1)], view);
  }

  /** Passes one request through an empty queue: offers it, dispatches it and ends it. */
  @Benchmark
  public Object dispatch() {
    RoutingRequest request = requests[next++ & (REQUESTS - 1)];
    long nowNanos = next * 1000L;
    dispatcher.offer(nowNanos, request);
    var placement = dispatcher.next(nowNanos, view);
    placement.ifPresent(p -> dispatcher.recordEnd(nowNanos, p.request()));
    return placement;
  }

  private RoutingView view(int entries, int engines) {
    List<InstanceId> instances = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      instances.add(InstanceId.of("entry-" + i));
    }
    List<EngineView> views = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      EngineId id = EngineId.of("engine-" + i);
      if (sharers == 0
          || EngineSubsetting.shareOf(instances.get(0), instances, id, sharers).isPresent()) {
        views.add(engine(i, id));
      }
    }
    List<RegionSummary> regions = new ArrayList<>();
    for (int i = 1; i <= OTHER_REGIONS; i++) {
      regions.add(new RegionSummary(RegionId.of("region-" + i), 10, 0, ROUND_TRIP_NANOS, true));
    }
    return new RoutingView(REGION, views, regions);
  }

  private static EngineView engine(int index, EngineId id) {
    Set<ModelId> models = new HashSet<>();
    for (int i = 0; i < MODELS; i++) {
      models.add(ModelId.of("model-" + i));
    }
    int inFlight = (int) (BitMixer.mix(index) & 3);
    return new EngineView(id, models, SLOTS, inFlight, 2 * inFlight, 0, 0, true, 5, 0);
  }

  private static RoutingRequest request(int index, Set<RegionId> allowed) {
    return new RoutingRequest(
        RequestId.of("request-" + index),
        CustomerId.of("customer-" + index % CUSTOMERS),
        KindId.of("kind"),
        index % 3 == 0 ? Rank.OTHER : Rank.URGENT,
        ModelId.of("model-" + index % MODELS),
        BitMixer.mix(index % CUSTOMERS),
        3000,
        200,
        0,
        Long.MAX_VALUE,
        allowed,
        false);
  }
}
