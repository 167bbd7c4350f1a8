package org.gentianslip.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * Simulates the hellos of instances tick by tick, with one published list that never changes.
 *
 * <p>Instances are killed, replaced, paused and resumed; pairs of instances and whole regions are
 * partitioned. Every instance has a clock of its own. Not thread-safe.
 */
final class MembershipSimulation {

  static final long TICK = 1_000_000_000L;
  private static final int HINTS = 8;

  final List<Node> nodes = new ArrayList<>();
  final Set<Set<Node>> partitionedPairs = new HashSet<>();
  boolean regionsPartitioned;
  private final Random random;
  private final List<InstanceInfo> infos = new ArrayList<>();
  private long tick;

  /** One simulated instance; it gets a new incarnation when it is replaced. */
  final class Node {
    final InstanceInfo info;
    final long clockOffset = random.nextInt(1000) * TICK;
    MembershipTable table;
    PauseDetector pauses;
    Incarnation incarnation;
    long beat;
    boolean alive = true;
    boolean leaving;
    boolean paused;

    Node(InstanceInfo info) {
      this.info = info;
      start();
    }

    void start() {
      incarnation = Incarnation.of(random.nextLong());
      beat = 0;
      alive = true;
      leaving = false;
      paused = false;
      MembershipTimeouts times = MembershipTimeouts.of(TICK, plan().ticksPerRound(infos.size()));
      table = MembershipTable.of(info, times).withList(now(), 1, listed());
      pauses = new PauseDetector(2 * TICK, now());
    }

    long now() {
      return tick * TICK + clockOffset;
    }

    boolean answers() {
      return alive && !paused;
    }

    InstanceState stateOf(Node other) {
      return table.stateOf(now(), other.info.id());
    }

    private ContactPlan plan() {
      return new ContactPlan(info.id(), info.region(), 8, 4, 2);
    }

    private Heartbeat heartbeat() {
      return new Heartbeat(info, incarnation, beat, leaving, 0);
    }

    private void beat() {
      if (pauses.tick(now())) {
        table = table.withPause(now());
      }
      table = table.withList(now(), 1, listed());
      beat++;
      for (InstanceId id : plan().contactsAt(tick, infos)) {
        Node to = nodes.stream().filter(n -> n.info.id().equals(id)).findFirst().orElseThrow();
        if (to.answers() && isConnected(this, to)) {
          exchangeHellosWith(to);
        } else {
          table = table.withFailedHello(now(), id);
        }
      }
    }

    private void exchangeHellosWith(Node to) {
      to.table = to.table.withHello(to.now(), heartbeat());
      to.table = to.table.withHints(to.now(), table.hints(now(), HINTS));
      table = table.withHelloAnswer(now(), to.heartbeat());
      table = table.withHints(now(), to.table.hints(to.now(), HINTS));
    }
  }

  MembershipSimulation(long seed, int regions, int perRegion) {
    random = new Random(seed);
    for (int r = 0; r < regions; r++) {
      for (int i = 0; i < perRegion; i++) {
        infos.add(infoOf("r" + r, "r" + r + "-" + i));
      }
    }
    infos.forEach(i -> nodes.add(new Node(i)));
  }

  static InstanceInfo infoOf(String region, String id) {
    return new InstanceInfo(
        InstanceId.of(id),
        RegionId.of(region),
        DataCentreId.of(region + "-1"),
        id + ":1",
        id + ":2");
  }

  void tick() {
    tick++;
    nodes.stream().filter(Node::answers).forEach(Node::beat);
  }

  void ticks(int count) {
    for (int i = 0; i < count; i++) {
      tick();
    }
  }

  void injectFault() {
    Node n = nodes.get(random.nextInt(nodes.size()));
    switch (random.nextInt(7)) {
      case 0 -> n.alive = false;
      case 1 -> n.start();
      case 2 -> n.leaving = true;
      case 3 -> n.paused = !n.paused;
      case 4 ->
          partitionedPairs.add(
              Set.of(nodes.get(0), nodes.get(1 + random.nextInt(nodes.size() - 1))));
      case 5 -> regionsPartitioned = !regionsPartitioned;
      default -> partitionedPairs.clear();
    }
  }

  void endAllFaults() {
    partitionedPairs.clear();
    regionsPartitioned = false;
    nodes.forEach(n -> n.paused = false);
  }

  List<Node> sameRegion(Node node) {
    return nodes.stream()
        .filter(n -> n != node && n.info.region().equals(node.info.region()))
        .toList();
  }

  private List<ListedInstance> listed() {
    return infos.stream().map(i -> new ListedInstance(i, Listing.LIVE)).toList();
  }

  private boolean isConnected(Node a, Node b) {
    boolean sameRegion = a.info.region().equals(b.info.region());
    return !partitionedPairs.contains(Set.of(a, b)) && (sameRegion || !regionsPartitioned);
  }
}
