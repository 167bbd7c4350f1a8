package org.gentianslip.core.revision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.Revision;

/**
 * Plays the spread of settings as a sequence of random steps.
 *
 * <p>The config service goes down, shows old states again and numbers two states alike; some states
 * are invalid; instances are cut off from each other and from the service, are replaced, and take
 * the results of fetches late. Not thread-safe.
 */
final class RevisionWorld {

  private static final long SECOND = 1_000_000_000L;

  final List<Node> nodes = new ArrayList<>();
  private final Random random;
  private final List<ManifestRef> published = new ArrayList<>();
  private final List<Runnable> late = new ArrayList<>();
  private ManifestRef shown = ManifestRef.NONE;
  private boolean serviceUp = true;
  private boolean healed;
  private long revision;
  private long nowNanos;

  /** Plays one life of an instance. */
  static final class Node {
    private final InstanceId id;
    private RevisionAdoption adoption = RevisionAdoption.initial();
    private boolean ready;
    private int side;

    /** Whether this life ever put an earlier state in force after a later one. */
    boolean reverted;

    Node(InstanceId id) {
      this.id = id;
    }

    ManifestRef accepted() {
      return adoption.accepted();
    }
  }

  RevisionWorld(long seed, int size) {
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
      case 2 -> shown = published.isEmpty() ? shown : published.get(pick(published.size()));
      case 3 -> serviceUp = !serviceUp;
      case 4 -> nodes.forEach(n -> n.side = random.nextInt(2));
      case 5 -> restart(pick(nodes.size()));
      case 6, 7, 8 -> watch(nodes.get(pick(nodes.size())));
      case 9, 10, 11, 12 -> hear(nodes.get(pick(nodes.size())), nodes.get(pick(nodes.size())));
      default -> deliverOne();
    }
  }

  /** Heals everything and plays one round in which all hear from all. */
  void healedRound() {
    healed = true;
    serviceUp = true;
    nowNanos += 2 * RevisionAdoption.FETCH_TIMEOUT_NANOS;
    for (Node n : nodes) {
      n.side = 0;
      watch(n);
      nodes.forEach(other -> hear(n, other));
    }
    while (!late.isEmpty()) {
      deliverOne();
    }
  }

  /** Returns the latest valid state that the service shows or an instance has in force. */
  ManifestRef latestKnown() {
    ManifestRef latest = isValid(shown) ? shown : ManifestRef.NONE;
    for (Node n : nodes) {
      latest = n.accepted().isAfter(latest) ? n.accepted() : latest;
    }
    return latest;
  }

  /** Returns the latest state that an instance of the same side has in force. */
  ManifestRef latestReachable(Node node) {
    ManifestRef latest = ManifestRef.NONE;
    for (Node n : nodes) {
      if (n.side == node.side && n.accepted().isAfter(latest)) {
        latest = n.accepted();
      }
    }
    return latest;
  }

  /** Lets an instance ask all that it reaches, and returns whether it became ready by that. */
  boolean askForReadiness(Node node) {
    if (node.ready) {
      return false;
    }
    int answered = (int) nodes.stream().filter(n -> n != node && n.side == node.side).count();
    Optional<ManifestRef> service = serviceUp ? Optional.of(shown) : Optional.empty();
    KnownRevisions known = new KnownRevisions(service, answered, 0, latestReachable(node));
    node.ready = ReadinessRule.isReady(node.adoption, known);
    return node.ready;
  }

  private int pick(int bound) {
    return random.nextInt(bound);
  }

  private void publish() {
    if (random.nextInt(4) != 0) {
      revision++;
    }
    String hash = Integer.toHexString(random.nextInt(16)) + Long.toHexString(random.nextLong());
    shown = new ManifestRef(Revision.of(Math.max(1, revision)), hash);
    published.add(shown);
  }

  private void restart(int index) {
    Node old = nodes.get(index);
    Node fresh = new Node(old.id);
    fresh.side = old.side;
    nodes.set(index, fresh);
  }

  private void watch(Node node) {
    if (serviceUp && !shown.equals(ManifestRef.NONE)) {
      feed(node, new RevisionEvent.ServiceAnnounced(shown));
    }
  }

  private void hear(Node node, Node from) {
    if (node != from && node.side == from.side && !from.accepted().equals(ManifestRef.NONE)) {
      feed(node, new RevisionEvent.PeerAnnounced(from.id, from.accepted()));
    }
  }

  private void deliverOne() {
    if (!late.isEmpty()) {
      late.remove(pick(late.size())).run();
    }
  }

  private void feed(Node node, RevisionEvent event) {
    ManifestRef before = node.accepted();
    RevisionStep step = node.adoption.on(nowNanos, event);
    node.adoption = step.next();
    node.reverted |= before.isAfter(node.accepted());
    if (step.decision() instanceof RevisionDecision.FetchFromService
        || step.decision() instanceof RevisionDecision.PullFromPeer) {
      ManifestRef ref = event.ref();
      boolean lost = !healed && random.nextInt(6) == 0;
      late.add(() -> feed(node, resultOf(ref, lost)));
    }
  }

  private static RevisionEvent resultOf(ManifestRef ref, boolean lost) {
    if (lost) {
      return new RevisionEvent.FetchFailed(ref);
    }
    return isValid(ref) ? new RevisionEvent.Validated(ref) : new RevisionEvent.Rejected(ref);
  }
}
