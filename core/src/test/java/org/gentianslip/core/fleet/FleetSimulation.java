package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.quota.QuotaBounds;
import org.gentianslip.core.quota.QuotaLedger;
import org.gentianslip.core.quota.QuotaUsage;
import org.gentianslip.core.quota.UsageSource;

/** Plays the exchange of many instances in virtual time. Confined to one thread. */
final class FleetSimulation {

  static final long MILLI = 1_000_000L;

  private static final long CALL_TIMEOUT_MILLIS = 700;

  /** Whether messages from the first node reach the second one. */
  BiPredicate<Node, Node> reaches = (from, to) -> true;

  QuotaBounds quotaBounds = QuotaBounds.DEFAULT;

  /** The share of messages that are lost. */
  double lossShare;

  final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> byAddress = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Random random;
  private final List<String> seeds = new ArrayList<>();
  private long order;
  long nowNanos;

  private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atNanos != other.atNanos
          ? Long.compare(atNanos, other.atNanos)
          : Long.compare(order, other.order);
    }
  }

  /** An instance; a restart replaces its view. */
  final class Node {

    final InstanceId id;
    final DataCentreId dataCentre;
    final RegionId region;
    private final int size;
    int capacity;
    private long incarnation;
    private long beat;
    private int process;
    FleetView view;
    ContactPlanner planner;
    QuotaLedger quotas;
    boolean running;
    boolean frozen;
    boolean leaving;
    long messages;
    long statements;

    private Node(String id, String dataCentre, String region, int capacity) {
      this.id = InstanceId.of(id);
      this.dataCentre = DataCentreId.of(dataCentre);
      this.region = RegionId.of(region);
      this.size = capacity;
      this.capacity = capacity;
      byAddress.put(id, this);
    }

    void start() {
      incarnation = Math.max(incarnation + 1, nowNanos);
      beat = 0;
      running = true;
      view = new FleetView(record(incarnation));
      planner = new ContactPlanner(view, new SplittableRandom(random.nextLong()));
      quotas = new QuotaLedger(quotaBounds, nowNanos, random.nextDouble());
      int started = ++process;
      after(random.nextInt(200), () -> round(started));
    }

    void kill() {
      running = false;
      process++;
    }

    private PeerRecord record(long ownIncarnation) {
      return new PeerRecord(
          id,
          ownIncarnation,
          ++beat,
          region,
          dataCentre,
          id.value(),
          id.value(),
          id.value(),
          capacity,
          true,
          leaving,
          size);
    }

    private PeerRecord self() {
      return record(view.peers().ownIncarnation());
    }

    private void round(int ofProcess) {
      if (!running || ofProcess != process) {
        return;
      }
      if (!frozen) {
        var report = new DataCentreReport(Map.of(), quotas.centre(nowNanos, view.formerUsage()));
        boolean busy = random.nextBoolean() || !quotas.own(nowNanos).isEmpty();
        Activity activity =
            quotas.hasSurge(nowNanos) ? Activity.URGENT : busy ? Activity.BUSY : Activity.IDLE;
        planner.plan(nowNanos, self(), seeds, report, activity).forEach(this::call);
      }
      after(ContactPlanner.ROUND_MILLIS, () -> round(ofProcess));
    }

    private void call(Contact contact) {
      Node to = byAddress.get(contact.controlAddress());
      SyncMessage message =
          contact.id().isPresent()
              ? view.compose(nowNanos, self(), to.id)
              : view.introduction(self());
      count(message);
      Map<CustomerId, QuotaUsage> usage =
          contact.scope() == LoadScope.INSTANCE ? quotas.report(nowNanos) : null;
      int ofProcess = process;
      boolean[] answered = {false};
      long delay = delayMillis(this, to);
      after(delay, () -> to.receive(this, message, usage, ofProcess, answered, delay));
      after(
          CALL_TIMEOUT_MILLIS,
          () -> {
            if (!answered[0] && process == ofProcess) {
              contact.id().ifPresent(i -> planner.failed(nowNanos, i));
            }
          });
    }

    private void count(SyncMessage message) {
      messages++;
      statements += message.peers().size() + message.summaries().size();
    }

    private void receive(
        Node from,
        SyncMessage message,
        Map<CustomerId, QuotaUsage> usage,
        int process,
        boolean[] answered,
        long delayMillis) {
      if (!running || frozen || !arrives(from, this)) {
        return;
      }
      view.apply(nowNanos, message);
      planner.answered(from.id);
      SyncMessage response = view.compose(nowNanos, self(), from.id);
      count(response);
      var source = new UsageSource(from.id, message.self().incarnation());
      if (usage != null) {
        quotas.applyMember(nowNanos, source, usage);
      }
      Map<CustomerId, QuotaUsage> others = quotas.centreWithout(nowNanos, source);
      after(
          delayMillis,
          () -> {
            if (from.process == process && !from.frozen && arrives(this, from)) {
              answered[0] = true;
              from.view.apply(nowNanos, response);
              from.planner.answered(id);
              if (usage != null) {
                from.quotas.applyRelay(nowNanos, others);
              }
            }
          });
    }

    boolean believesLive(Node other) {
      return view.live(nowNanos).stream().anyMatch(p -> p.id().equals(other.id));
    }
  }

  FleetSimulation(long seed, int regions, int dataCentres, int perDataCentre) {
    random = new Random(seed);
    for (int r = 0; r < regions; r++) {
      for (int d = 0; d < dataCentres; d++) {
        for (int i = 0; i < perDataCentre; i++) {
          String centre = "r" + r + "-" + d;
          nodes.add(new Node(centre + "-" + i, centre, "r" + r, i < 2 ? 150 : 36));
        }
      }
    }
    for (int s = 0; s < 3; s++) {
      seeds.add(nodes.get(s * nodes.size() / 3).id.value());
    }
  }

  private boolean arrives(Node from, Node to) {
    return reaches.test(from, to) && random.nextDouble() >= lossShare;
  }

  private static long delayMillis(Node from, Node to) {
    return from.region.equals(to.region) ? 1 : 55;
  }

  private void after(long millis, Runnable action) {
    events.add(new Event(nowNanos + millis * MILLI, order++, action));
  }

  void startAll() {
    nodes.forEach(Node::start);
  }

  void runMillis(long millis) {
    long end = nowNanos + millis * MILLI;
    while (!events.isEmpty() && events.peek().atNanos() <= end) {
      Event next = events.poll();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = end;
  }

  /** Returns the share of ordered pairs of running nodes in which the first knows the second. */
  double agreement() {
    long pairs = 0;
    long known = 0;
    for (Node n : nodes) {
      if (!n.running || n.frozen) {
        continue;
      }
      List<InstanceId> live = n.view.live(nowNanos).stream().map(PeerRecord::id).toList();
      var liveSet = new HashSet<>(live);
      for (Node other : nodes) {
        if (other != n) {
          pairs++;
          known += liveSet.contains(other.id) == (other.running && !other.frozen) ? 1 : 0;
        }
      }
    }
    return pairs == 0 ? 1 : (double) known / pairs;
  }

  /** Returns how many of some running nodes know the present capacity of a node. */
  long knowing(Node node, Predicate<Node> receivers) {
    return nodes.stream()
        .filter(n -> n != node && n.running && receivers.test(n))
        .filter(
            n ->
                n.view.live(nowNanos).stream()
                    .anyMatch(p -> p.id().equals(node.id) && p.capacity() == node.capacity))
        .count();
  }

  /** Returns the largest number of messages that one node sent or answered, and resets it. */
  long takeMostMessages() {
    long most = 0;
    for (Node n : nodes) {
      most = Math.max(most, n.messages);
      n.messages = 0;
    }
    return most;
  }

  /** Returns the number of statements that all nodes sent, and resets it. */
  long takeStatements() {
    long all = 0;
    for (Node n : nodes) {
      all += n.statements;
      n.statements = 0;
    }
    return all;
  }
}
