package org.gentianslip.bench.run;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.fleet.RegionSpec;
import org.gentianslip.bench.fleet.SimulatedEngine;
import org.gentianslip.bench.fleet.SimulatedLink;
import org.gentianslip.bench.scenario.Arrival;
import org.gentianslip.bench.scenario.Fault;
import org.gentianslip.bench.scenario.Scenario;
import org.gentianslip.bench.time.EventLoop;
import org.gentianslip.core.hash.BitMixer;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.limit.Backoff;
import org.gentianslip.core.limit.EngineShare;
import org.gentianslip.core.routing.RoutingRequest;

/**
 * A simulation of one scenario of a fleet with one policy.
 *
 * <p>The metrics depend only on the arguments. Not thread-safe.
 */
public final class PolicySimulation implements SimulatedNetwork {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long REPORT_PERIOD_NANOS = 500_000_000L;
  private static final long REPORT_LAG_NANOS = 300_000_000L;
  private static final long CONNECT_TIMEOUT_NANOS = 300_000_000L;
  private static final long DRAIN_NANOS = 60 * NANOS_PER_SECOND;
  private static final long BYTES_PER_PROMPT_TOKEN = 4;
  private static final long BYTES_PER_ANSWER_TOKEN = 150;
  private static final long REFUSAL_BYTES = 500;
  private static final long SUMMARY_BYTES = 300;
  private static final double LINK_BUDGET_SHARE = 0.5;
  private static final double BITS_PER_BYTE = 8;
  private static final int PREFERRED_ENTRIES = 2;
  private static final long FIRST_BACKOFF_NANOS = 200_000_000L;
  private static final long MAX_BACKOFF_NANOS = 5_000_000_000L;

  private final FleetSpec fleet;
  private final Scenario scenario;
  private final EventLoop loop = new EventLoop();
  private final SimulationMetrics metrics;
  private final Map<RegionId, List<SimulatedEngine>> engines = new LinkedHashMap<>();
  private final Map<RegionId, List<SimulatedEntry>> entries = new LinkedHashMap<>();
  private final Map<String, SimulatedLink> links = new LinkedHashMap<>();
  private final Map<SimulatedCall, Long> firstTokenNanosByCall = new HashMap<>();
  private final Set<RegionId> allRegions;
  private int forwardCount;

  private PolicySimulation(FleetSpec fleet, Scenario scenario, PolicySetup setup, long seed) {
    this.fleet = fleet;
    this.scenario = scenario;
    this.metrics = new SimulationMetrics(fleet.engine().slots());
    this.allRegions =
        fleet.regions().stream().map(RegionSpec::id).collect(Collectors.toUnmodifiableSet());
    fleet.regions().forEach(this::buildEngines);
    fleet.regions().forEach(region -> buildEntries(region, setup, seed));
    buildLinks();
    scheduleReports();
    scheduleFaults();
  }

  /**
   * Runs a simulation and returns its metrics.
   *
   * @param fleet the fleet to simulate
   * @param scenario the scenario
   * @param arrivals the requests that callers send, in the order of time
   * @param setup the policy to use
   * @param seed the seed for the random choices of the policy
   */
  public static SimulationMetrics run(
      FleetSpec fleet, Scenario scenario, List<Arrival> arrivals, PolicySetup setup, long seed) {
    var simulation = new PolicySimulation(fleet, scenario, setup, seed);
    simulation.scheduleArrival(arrivals, 0);
    simulation.loop.runUntil(Scenario.RUN_SECONDS * NANOS_PER_SECOND + DRAIN_NANOS);
    simulation.metrics.finish(
        simulation.links.values().stream().mapToLong(SimulatedLink::sentBytes).sum());
    return simulation.metrics;
  }

  @Override
  public long interRegionOneWayNanos() {
    return fleet.interRegionOneWayNanos();
  }

  @Override
  public long promptBytes(SimulatedCall call) {
    return call.request().promptTokens() * BYTES_PER_PROMPT_TOKEN;
  }

  @Override
  public long answerBytes(SimulatedCall call) {
    return call.arrival().answerTokens() * BYTES_PER_ANSWER_TOKEN;
  }

  @Override
  public void forward(SimulatedCall call, RegionId to) {
    metrics.recordForwarded(call.arrival());
    RegionId from = call.origin().region();
    SimulatedLink link = link(from, to);
    if (!link.isUp()) {
      loop.after(CONNECT_TIMEOUT_NANOS, () -> call.origin().onRemoteRefusal(call, to));
      return;
    }
    List<SimulatedEntry> targets = entries.get(to);
    SimulatedEntry target = targets.get(forwardCount++ % targets.size());
    loop.at(link.transmit(loop.nowNanos(), promptBytes(call)), () -> target.receiveForwarded(call));
  }

  @Override
  public void sendRefusal(SimulatedCall call, RegionId from) {
    SimulatedLink link = link(from, call.origin().region());
    if (!link.isUp()) {
      loop.after(CONNECT_TIMEOUT_NANOS, () -> call.origin().onRemoteRefusal(call, from));
      return;
    }
    loop.at(
        link.transmit(loop.nowNanos(), REFUSAL_BYTES),
        () -> call.origin().onRemoteRefusal(call, from));
  }

  @Override
  public void refuse(SimulatedCall call) {
    metrics.recordEnd(
        call.arrival(),
        call.waited() ? RequestOutcome.REFUSED_LATE : RequestOutcome.REFUSED_EARLY,
        0);
  }

  @Override
  public void sendFirstToken(SimulatedCall call, SimulatedEntry from) {
    long arrivalNanos = loop.nowNanos();
    if (from != call.origin()) {
      call.setServingRegion(from.region());
      if (!link(from.region(), call.origin().region()).isUp()) {
        fail(call);
        return;
      }
      arrivalNanos =
          link(from.region(), call.origin().region()).transmit(arrivalNanos, answerBytes(call));
      call.origin().regionTracker(from.region()).onAnswer();
    }
    long callerNanos = arrivalNanos + fleet.callerOneWayNanos();
    firstTokenNanosByCall.put(call, callerNanos - call.arrival().sentNanos());
  }

  @Override
  public void complete(SimulatedCall call) {
    Long firstTokenNanos = firstTokenNanosByCall.remove(call);
    if (firstTokenNanos == null) {
      return;
    }
    RegionId home = call.origin().region();
    if (!call.servingRegion().equals(home) && !link(call.servingRegion(), home).isUp()) {
      fail(call);
      return;
    }
    boolean inTime = firstTokenNanos <= call.arrival().kind().firstTokenDeadlineNanos();
    metrics.recordEnd(
        call.arrival(), inTime ? RequestOutcome.GOOD : RequestOutcome.LATE, firstTokenNanos);
  }

  @Override
  public void fail(SimulatedCall call) {
    firstTokenNanosByCall.remove(call);
    metrics.recordEnd(call.arrival(), RequestOutcome.FAILED, 0);
  }

  @Override
  public void recordRetry() {
    metrics.recordRetry();
  }

  private void scheduleArrival(List<Arrival> arrivals, int index) {
    if (index == arrivals.size()) {
      return;
    }
    Arrival arrival = arrivals.get(index);
    loop.at(
        arrival.sentNanos() + fleet.callerOneWayNanos(),
        () -> {
          scheduleArrival(arrivals, index + 1);
          receiveArrival(arrival, index);
        });
  }

  private void receiveArrival(Arrival arrival, int index) {
    metrics.recordSent(arrival);
    RegionId home = fleet.regions().get(arrival.region()).id();
    SimulatedEntry entry = chooseEntry(arrival, home);
    var request =
        new RoutingRequest(
            RequestId.of("r" + index),
            arrival.customer(),
            arrival.kind().kind(),
            arrival.kind().rank(),
            SimulatedEntry.MODEL,
            arrival.prefixDigest(),
            arrival.kind().promptTokens(),
            arrival.kind().maxAnswerTokens(),
            loop.nowNanos(),
            arrival.sentNanos()
                + arrival.kind().firstTokenDeadlineNanos()
                - fleet.callerOneWayNanos(),
            arrival.regionBound() ? Set.of(home) : allRegions,
            false);
    entry.receive(new SimulatedCall(arrival, request, entry));
  }

  private SimulatedEntry chooseEntry(Arrival arrival, RegionId home) {
    List<SimulatedEntry> candidates = entries.get(home);
    long key = arrival.customer().value().hashCode();
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < candidates.size(); i++) {
      order.add(i);
    }
    order.sort(Comparator.comparingLong(i -> -BitMixer.rendezvousScore(key, home + "-" + i)));
    return candidates.get(
        order.get(arrival.entryDraw() % Math.min(PREFERRED_ENTRIES, candidates.size())));
  }

  private void buildEngines(RegionSpec region) {
    List<SimulatedEngine> built = new ArrayList<>();
    for (int i = 0; i < region.engineCount(); i++) {
      EngineId id = EngineId.of(region.id() + "-engine-" + (i + 1));
      built.add(new SimulatedEngine(id, fleet.engine(), loop, metrics));
    }
    engines.put(region.id(), built);
  }

  private void buildEntries(RegionSpec region, PolicySetup setup, long seed) {
    List<SimulatedEntry> built = new ArrayList<>();
    for (int i = 0; i < region.entryCount(); i++) {
      var entry =
          new SimulatedEntry(region.id(), loop, fleet.intraRegionOneWayNanos(), this, setup, seed);
      int entryIndex = i;
      for (SimulatedEngine engine : engines.get(region.id())) {
        int shareIndex =
            (entryIndex + engines.get(region.id()).indexOf(engine)) % region.entryCount();
        entry.addEngine(
            new EngineTracker(
                engine,
                fleet.engine().slots(),
                EngineShare.equal(shareIndex, region.entryCount()),
                setup.sharesSlots(),
                setup.recoveryRamp()));
      }
      addRegions(entry, region, entryIndex, seed);
      built.add(entry);
    }
    entries.put(region.id(), built);
  }

  private void addRegions(SimulatedEntry entry, RegionSpec ownRegion, int entryIndex, long seed) {
    int entriesBefore = 0;
    for (RegionSpec region : fleet.regions()) {
      if (region.equals(ownRegion)) {
        break;
      }
      entriesBefore += region.entryCount();
    }
    int totalEntries = fleet.regions().stream().mapToInt(RegionSpec::entryCount).sum();
    for (RegionSpec region : fleet.regions()) {
      if (region.equals(ownRegion)) {
        continue;
      }
      int senders = totalEntries - region.entryCount();
      int senderIndex = Math.floorMod(entriesBefore + entryIndex, senders);
      double bytesPerSecond =
          fleet.linkBitsPerSecond() / BITS_PER_BYTE * LINK_BUDGET_SHARE / ownRegion.entryCount();
      entry.addRegion(
          region.id(),
          new RegionTracker(
              region.id(),
              2 * fleet.interRegionOneWayNanos(),
              EngineShare.equal(senderIndex, senders),
              new Backoff(
                  FIRST_BACKOFF_NANOS, MAX_BACKOFF_NANOS, seed + entriesBefore + entryIndex),
              new LinkBudget(bytesPerSecond)));
    }
  }

  private void buildLinks() {
    for (RegionSpec from : fleet.regions()) {
      for (RegionSpec to : fleet.regions()) {
        if (!from.equals(to)) {
          links.put(
              from.id() + ">" + to.id(),
              new SimulatedLink(fleet.linkBitsPerSecond(), fleet.interRegionOneWayNanos()));
        }
      }
    }
  }

  private SimulatedLink link(RegionId from, RegionId to) {
    return links.get(from + ">" + to);
  }

  private void scheduleReports() {
    for (List<SimulatedEntry> regionEntries : entries.values()) {
      for (SimulatedEntry entry : regionEntries) {
        loop.every(REPORT_PERIOD_NANOS, () -> reportEngines(entry));
      }
    }
    loop.every(REPORT_PERIOD_NANOS, this::exchangeSummaries);
  }

  private void reportEngines(SimulatedEntry entry) {
    for (EngineTracker engine : entry.engines()) {
      Runnable apply = engine.sampleReport(loop.nowNanos());
      loop.after(
          REPORT_LAG_NANOS,
          () -> {
            apply.run();
            entry.dispatchQueued();
          });
    }
  }

  private void exchangeSummaries() {
    entries.forEach(
        (from, senders) ->
            entries.forEach(
                (to, receivers) -> {
                  if (!from.equals(to) && link(from, to).isUp()) {
                    int freeSlots =
                        senders.stream().mapToInt(SimulatedEntry::freeSlots).min().orElse(0);
                    receivers.forEach(receiver -> sendSummary(from, receiver, freeSlots));
                  }
                }));
  }

  private void sendSummary(RegionId from, SimulatedEntry receiver, int freeSlots) {
    long arrivalNanos = link(from, receiver.region()).transmit(loop.nowNanos(), SUMMARY_BYTES);
    loop.at(arrivalNanos, () -> receiver.regionTracker(from).onReport(loop.nowNanos(), freeSlots));
  }

  private void scheduleFaults() {
    long startNanos = Scenario.EVENT_START_SECONDS * NANOS_PER_SECOND;
    long endNanos = Scenario.EVENT_END_SECONDS * NANOS_PER_SECOND;
    for (Fault fault : scenario.faults()) {
      if (fault instanceof Fault.EnginesLost lost) {
        RegionId id = fleet.regions().get(lost.region()).id();
        List<SimulatedEngine> failing = engines.get(id).subList(0, lost.engines());
        loop.at(startNanos, () -> failing.forEach(SimulatedEngine::fail));
        loop.at(endNanos, () -> failing.forEach(SimulatedEngine::restore));
      } else if (fault instanceof Fault.Partition partition) {
        RegionId id = fleet.regions().get(partition.region()).id();
        loop.at(startNanos, () -> setLinks(id, false));
        loop.at(endNanos, () -> setLinks(id, true));
      }
    }
  }

  private void setLinks(RegionId id, boolean up) {
    links.forEach(
        (name, link) -> {
          if (name.startsWith(id + ">") || name.endsWith(">" + id)) {
            link.setUp(up);
          }
        });
  }
}
