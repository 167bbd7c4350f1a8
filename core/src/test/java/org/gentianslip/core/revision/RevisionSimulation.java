package org.gentianslip.core.revision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.Revision;

/**
 * Simulates the distribution of settings as a sequence of random steps.
 *
 * <p>The config service goes down, returns old states again and gives two states the same revision;
 * some states are invalid; instances are partitioned from each other, are replaced, and receive the
 * results of fetches late. Not thread-safe.
 */
final class RevisionSimulation {

  private static final long SECOND = 1_000_000_000L;

  final List<Node> nodes = new ArrayList<>();
  private final Random random;
  private final List<ManifestRef> published = new ArrayList<>();
  private final List<Runnable> pending = new ArrayList<>();
  private ManifestRef served = ManifestRef.NONE;
  private boolean serviceUp = true;
  private boolean withoutFaults;
  private long revision;
  private long nowNanos;

  /** One incarnation of a simulated instance. */
  static final class Node {
    private final InstanceId id;
    private RevisionAdoption adoption = RevisionAdoption.initial();
    private boolean ready;
    private int side;

    /** Whether this incarnation ever put an earlier state in force after a later one. */
    boolean reverted;

    Node(InstanceId id) {
      this.id = id;
    }

    ManifestRef accepted() {
      return adoption.accepted();
    }
  }

  RevisionSimulation(long seed, int size) {
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      nodes.add(new Node(InstanceId.of("i" + i)));
    }
  }

  static boolean isValid(ManifestRef ref) {
    return !ref.sha256().startsWith("0");
  }

  void step() {
    nowNanos += (long) (random.nextDouble() * SECOND);
    switch (random.nextInt(16)) {
      case 0, 1 -> publish();
      case 2 ->
          served = published.isEmpty() ? served : published.get(randomIndex(published.size()));
      case 3 -> serviceUp = !serviceUp;
      case 4 -> nodes.forEach(n -> n.side = random.nextInt(2));
      case 5 -> restart(randomIndex(nodes.size()));
      case 6, 7, 8 -> pollService(nodes.get(randomIndex(nodes.size())));
      case 9, 10, 11, 12 ->
          receiveAnnouncement(
              nodes.get(randomIndex(nodes.size())), nodes.get(randomIndex(nodes.size())));
      default -> deliverPending();
    }
  }

  /**
   * Ends all failures and simulates one round in which every instance receives the announcements of
   * all others.
   */
  void roundWithoutFaults() {
    withoutFaults = true;
    serviceUp = true;
    nowNanos += 2 * RevisionAdoption.FETCH_TIMEOUT_NANOS;
    for (Node n : nodes) {
      n.side = 0;
      pollService(n);
      nodes.forEach(other -> receiveAnnouncement(n, other));
    }
    while (!pending.isEmpty()) {
      deliverPending();
    }
  }

  /** Returns the latest valid state that the service returns or an instance has in force. */
  ManifestRef latestKnown() {
    ManifestRef latest = isValid(served) ? served : ManifestRef.NONE;
    for (Node n : nodes) {
      latest = n.accepted().isAfter(latest) ? n.accepted() : latest;
    }
    return latest;
  }

  /** Returns the latest state that an instance on the same side of the partition has in force. */
  ManifestRef latestReachable(Node node) {
    ManifestRef latest = ManifestRef.NONE;
    for (Node n : nodes) {
      if (n.side == node.side && n.accepted().isAfter(latest)) {
        latest = n.accepted();
      }
    }
    return latest;
  }

  /**
   * Lets an instance query all instances that it reaches, and returns whether that made it ready.
   */
  boolean becomesReady(Node node) {
    if (node.ready) {
      return false;
    }
    int answered = (int) nodes.stream().filter(n -> n != node && n.side == node.side).count();
    Optional<ManifestRef> service = serviceUp ? Optional.of(served) : Optional.empty();
    KnownRevisions known = new KnownRevisions(service, answered, 0, latestReachable(node));
    node.ready = ReadinessRule.isReady(node.adoption, known);
    return node.ready;
  }

  private int randomIndex(int bound) {
    return random.nextInt(bound);
  }

  private void publish() {
    if (random.nextInt(4) != 0) {
      revision++;
    }
    String hash = Integer.toHexString(random.nextInt(16)) + Long.toHexString(random.nextLong());
    served = new ManifestRef(Revision.of(Math.max(1, revision)), hash);
    published.add(served);
  }

  private void restart(int index) {
    Node old = nodes.get(index);
    Node fresh = new Node(old.id);
    fresh.side = old.side;
    nodes.set(index, fresh);
  }

  private void pollService(Node node) {
    if (serviceUp && !served.equals(ManifestRef.NONE)) {
      apply(node, new RevisionEvent.ServiceAnnounced(served));
    }
  }

  private void receiveAnnouncement(Node node, Node from) {
    if (node != from && node.side == from.side && !from.accepted().equals(ManifestRef.NONE)) {
      apply(node, new RevisionEvent.PeerAnnounced(from.id, from.accepted()));
    }
  }

  private void deliverPending() {
    if (!pending.isEmpty()) {
      pending.remove(randomIndex(pending.size())).run();
    }
  }

  private void apply(Node node, RevisionEvent event) {
    ManifestRef before = node.accepted();
    RevisionStep step = node.adoption.on(nowNanos, event);
    node.adoption = step.next();
    node.reverted |= before.isAfter(node.accepted());
    if (step.decision() instanceof RevisionDecision.FetchFromService
        || step.decision() instanceof RevisionDecision.PullFromPeer) {
      ManifestRef ref = event.ref();
      boolean failed = !withoutFaults && random.nextInt(6) == 0;
      pending.add(() -> apply(node, resultOf(ref, failed)));
    }
  }

  private static RevisionEvent resultOf(ManifestRef ref, boolean failed) {
    if (failed) {
      return new RevisionEvent.FetchFailed(ref);
    }
    return isValid(ref) ? new RevisionEvent.Validated(ref) : new RevisionEvent.Rejected(ref);
  }
}
