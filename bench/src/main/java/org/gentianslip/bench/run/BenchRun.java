package org.gentianslip.bench.run;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.gentianslip.bench.fleet.FakeEngine;
import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.fleet.Link;
import org.gentianslip.bench.fleet.RegionSpec;
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
 * Runs one scenario with one policy.
 *
 * <p>The result is a function of the arguments. For one thread.
 */
public final class BenchRun implements FakeNetwork {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long REPORT_PERIOD_NANOS = 500_000_000L;
  private static final long REPORT_LAG_NANOS = 300_000_000L;
  private static final long CONNECT_TIMEOUT_NANOS = 300_000_000L;
  private static final long DRAIN_NANOS = 60 * NANOS_PER_SECOND;
  private static final long BYTES_PER_PROMPT_TOKEN = 4;
  private static final long BYTES_PER_ANSWER_TOKEN = 150;
  private static final long REFUSAL_BYTES = 500;
  private static final long SUMMARY_BYTES = 300;
  private static final double LINK_SHARE = 0.5;
  private static final double BITS_PER_BYTE = 8;
  private static final int PREFERRED_ENTRIES = 2;
  private static final long FIRST_BACKOFF_NANOS = 200_000_000L;
  private static final long MAX_BACKOFF_NANOS = 5_000_000_000L;

  private final FleetSpec fleet;
  private final Scenario scenario;
  private final EventLoop loop = new EventLoop();
  private final RunResult result;
  private final Map<RegionId, List<FakeEngine>> engines = new LinkedHashMap<>();
  private final Map<RegionId, List<FakeEntry>> entries = new LinkedHashMap<>();
  private final Map<String, Link> links = new LinkedHashMap<>();
  private final Map<Call, Long> firstTokens = new HashMap<>();
  private final Set<RegionId> allRegions;
  private int forwards;

  private BenchRun(FleetSpec fleet, Scenario scenario, Contender contender, long seed) {
    this.fleet = fleet;
    this.scenario = scenario;
    this.result = new RunResult(fleet.engine().slots());
    this.allRegions =
        fleet.regions().stream().map(RegionSpec::id).collect(Collectors.toUnmodifiableSet());
    fleet.regions().forEach(this::buildEngines);
    fleet.regions().forEach(r -> buildEntries(r, contender, seed));
    buildLinks();
    scheduleReports();
    scheduleFaults();
  }

  /**
   * Runs a scenario.
   *
   * @param fleet the fleet
   * @param scenario the scenario
   * @param arrivals what callers send, in the order of time
   * @param contender the policy
   * @param seed the seed of the policy's draws
   */
  public static RunResult run(
      FleetSpec fleet, Scenario scenario, List<Arrival> arrivals, Contender contender, long seed) {
    var run = new BenchRun(fleet, scenario, contender, seed);
    run.schedule(arrivals, 0);
    run.loop.runUntil(Scenario.RUN_SECONDS * NANOS_PER_SECOND + DRAIN_NANOS);
    run.result.finish(run.links.values().stream().mapToLong(Link::bytes).sum());
    return run.result;
  }

  @Override
  public long oneWayNanos() {
    return fleet.regionNanos();
  }

  @Override
  public long promptBytes(Call call) {
    return call.request().promptTokens() * BYTES_PER_PROMPT_TOKEN;
  }

  @Override
  public long answerBytes(Call call) {
    return call.arrival().answerTokens() * BYTES_PER_ANSWER_TOKEN;
  }

  @Override
  public void forward(Call call, RegionId to) {
    result.onSentAway(call.arrival());
    RegionId from = call.origin().region();
    Link link = link(from, to);
    if (!link.isUp()) {
      loop.after(CONNECT_TIMEOUT_NANOS, () -> call.origin().onRemoteRefusal(call, to));
      return;
    }
    List<FakeEntry> targets = entries.get(to);
    FakeEntry target = targets.get(forwards++ % targets.size());
    loop.at(link.send(loop.nowNanos(), promptBytes(call)), () -> target.receiveForwarded(call));
  }

  @Override
  public void refusedRemotely(Call call, RegionId from) {
    Link link = link(from, call.origin().region());
    if (!link.isUp()) {
      loop.after(CONNECT_TIMEOUT_NANOS, () -> call.origin().onRemoteRefusal(call, from));
      return;
    }
    loop.at(
        link.send(loop.nowNanos(), REFUSAL_BYTES), () -> call.origin().onRemoteRefusal(call, from));
  }

  @Override
  public void refused(Call call) {
    result.onEnded(call.arrival(), call.waited() ? Outcome.REFUSED_LATE : Outcome.REFUSED_EARLY, 0);
  }

  @Override
  public void firstToken(Call call, FakeEntry from) {
    long arrives = loop.nowNanos();
    if (from != call.origin()) {
      call.setHolder(from.region());
      if (!link(from.region(), call.origin().region()).isUp()) {
        failed(call);
        return;
      }
      arrives = link(from.region(), call.origin().region()).send(arrives, answerBytes(call));
      call.origin().regionSlot(from.region()).onAnswer();
    }
    long caller = arrives + fleet.callerNanos();
    firstTokens.put(call, caller - call.arrival().sentNanos());
  }

  @Override
  public void done(Call call) {
    Long taken = firstTokens.remove(call);
    if (taken == null) {
      return;
    }
    RegionId home = call.origin().region();
    if (!call.holder().equals(home) && !link(call.holder(), home).isUp()) {
      failed(call);
      return;
    }
    boolean inTime = taken <= call.arrival().kind().deadlineNanos();
    result.onEnded(call.arrival(), inTime ? Outcome.GOOD : Outcome.LATE, taken);
  }

  @Override
  public void failed(Call call) {
    firstTokens.remove(call);
    result.onEnded(call.arrival(), Outcome.FAILED, 0);
  }

  @Override
  public void retried() {
    result.onRetry();
  }

  private void schedule(List<Arrival> arrivals, int index) {
    if (index == arrivals.size()) {
      return;
    }
    Arrival arrival = arrivals.get(index);
    loop.at(
        arrival.sentNanos() + fleet.callerNanos(),
        () -> {
          schedule(arrivals, index + 1);
          receive(arrival, index);
        });
  }

  private void receive(Arrival arrival, int index) {
    result.onSent(arrival);
    RegionId home = fleet.regions().get(arrival.region()).id();
    FakeEntry entry = entryOf(arrival, home);
    var request =
        new RoutingRequest(
            RequestId.of("r" + index),
            arrival.customer(),
            arrival.kind().kind(),
            arrival.kind().rank(),
            FakeEntry.MODEL,
            arrival.prefix(),
            arrival.kind().promptTokens(),
            arrival.kind().maxAnswerTokens(),
            loop.nowNanos(),
            arrival.sentNanos() + arrival.kind().deadlineNanos() - fleet.callerNanos(),
            arrival.bound() ? Set.of(home) : allRegions,
            false);
    entry.receive(new Call(arrival, request, entry));
  }

  private FakeEntry entryOf(Arrival arrival, RegionId home) {
    List<FakeEntry> all = entries.get(home);
    long key = arrival.customer().value().hashCode();
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      order.add(i);
    }
    order.sort(Comparator.comparingLong(i -> -BitMixer.rendezvous(key, home + "-" + i)));
    return all.get(order.get(arrival.draw() % Math.min(PREFERRED_ENTRIES, all.size())));
  }

  private void buildEngines(RegionSpec region) {
    List<FakeEngine> list = new ArrayList<>();
    for (int i = 0; i < region.engines(); i++) {
      EngineId id = EngineId.of(region.id() + "-engine-" + (i + 1));
      list.add(new FakeEngine(id, fleet.engine(), loop, result));
    }
    engines.put(region.id(), list);
  }

  private void buildEntries(RegionSpec region, Contender contender, long seed) {
    List<FakeEntry> list = new ArrayList<>();
    for (int i = 0; i < region.entries(); i++) {
      var entry = new FakeEntry(region.id(), loop, fleet.centreNanos(), this, contender, seed);
      int place = i;
      for (FakeEngine engine : engines.get(region.id())) {
        int turned = (place + engines.get(region.id()).indexOf(engine)) % region.entries();
        entry.addEngine(
            new EngineSlot(
                engine,
                fleet.engine().slots(),
                EngineShare.equal(turned, region.entries()),
                contender.sharedLimits(),
                contender.ramp()));
      }
      addRegions(entry, region, place, seed);
      list.add(entry);
    }
    entries.put(region.id(), list);
  }

  private void addRegions(FakeEntry entry, RegionSpec own, int place, long seed) {
    int before = 0;
    for (RegionSpec region : fleet.regions()) {
      if (region.equals(own)) {
        break;
      }
      before += region.entries();
    }
    int all = fleet.regions().stream().mapToInt(RegionSpec::entries).sum();
    for (RegionSpec region : fleet.regions()) {
      if (region.equals(own)) {
        continue;
      }
      int senders = all - region.entries();
      int senderPlace = Math.floorMod(before + place, senders);
      double bytes = fleet.linkBitsPerSecond() / BITS_PER_BYTE * LINK_SHARE / own.entries();
      entry.addRegion(
          region.id(),
          new RegionSlot(
              region.id(),
              2 * fleet.regionNanos(),
              EngineShare.equal(senderPlace, senders),
              new Backoff(FIRST_BACKOFF_NANOS, MAX_BACKOFF_NANOS, seed + before + place),
              new LinkBudget(bytes)));
    }
  }

  private void buildLinks() {
    for (RegionSpec from : fleet.regions()) {
      for (RegionSpec to : fleet.regions()) {
        if (!from.equals(to)) {
          links.put(
              from.id() + ">" + to.id(), new Link(fleet.linkBitsPerSecond(), fleet.regionNanos()));
        }
      }
    }
  }

  private Link link(RegionId from, RegionId to) {
    return links.get(from + ">" + to);
  }

  private void scheduleReports() {
    for (List<FakeEntry> list : entries.values()) {
      for (FakeEntry entry : list) {
        loop.every(REPORT_PERIOD_NANOS, () -> reportEngines(entry));
      }
    }
    loop.every(REPORT_PERIOD_NANOS, this::exchangeSummaries);
  }

  private void reportEngines(FakeEntry entry) {
    for (EngineSlot engine : entry.engines()) {
      Runnable apply = engine.sample(loop.nowNanos());
      loop.after(
          REPORT_LAG_NANOS,
          () -> {
            apply.run();
            entry.pump();
          });
    }
  }

  private void exchangeSummaries() {
    entries.forEach(
        (from, senders) ->
            entries.forEach(
                (to, receivers) -> {
                  if (!from.equals(to) && link(from, to).isUp()) {
                    int free = senders.stream().mapToInt(FakeEntry::freeSlots).min().orElse(0);
                    receivers.forEach(r -> tell(from, r, free));
                  }
                }));
  }

  private void tell(RegionId from, FakeEntry receiver, int free) {
    long arrives = link(from, receiver.region()).send(loop.nowNanos(), SUMMARY_BYTES);
    loop.at(arrives, () -> receiver.regionSlot(from).onReport(loop.nowNanos(), free));
  }

  private void scheduleFaults() {
    long start = Scenario.EVENT_START_SECONDS * NANOS_PER_SECOND;
    long end = Scenario.EVENT_END_SECONDS * NANOS_PER_SECOND;
    for (Fault fault : scenario.faults()) {
      if (fault instanceof Fault.EnginesLost lost) {
        RegionId id = fleet.regions().get(lost.region()).id();
        List<FakeEngine> failing = engines.get(id).subList(0, lost.engines());
        loop.at(start, () -> failing.forEach(FakeEngine::fail));
        loop.at(end, () -> failing.forEach(FakeEngine::restore));
      } else if (fault instanceof Fault.Partition partition) {
        RegionId id = fleet.regions().get(partition.region()).id();
        loop.at(start, () -> setLinks(id, false));
        loop.at(end, () -> setLinks(id, true));
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
