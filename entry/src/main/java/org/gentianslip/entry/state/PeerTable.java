package org.gentianslip.entry.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Holds what other instances last told.
 *
 * <p>It is a hint: a peer that was not heard for {@link #SILENT_NANOS} counts as silent. Safe for
 * use by several threads.
 */
public final class PeerTable {

  /** How long a peer may be silent before it is left out, in nanoseconds. */
  public static final long SILENT_NANOS = 3_000_000_000L;

  private final Map<String, PeerState> peers = new ConcurrentHashMap<>();

  /** Takes what a peer told. */
  public void heard(PeerState peer) {
    peers.put(peer.id(), peer);
  }

  /** Returns what a peer last told, unless it is silent. */
  public Optional<PeerState> fresh(long nowNanos, String id) {
    return Optional.ofNullable(peers.get(id)).filter(p -> nowNanos - p.heardNanos() < SILENT_NANOS);
  }

  /** Returns all peers that were ever heard. */
  public List<PeerState> all() {
    return List.copyOf(peers.values());
  }

  /** Returns the peers of a region that were heard lately. */
  public List<PeerState> freshOf(long nowNanos, Iterable<String> ids) {
    var found = new java.util.ArrayList<PeerState>();
    for (String id : ids) {
      fresh(nowNanos, id).ifPresent(found::add);
    }
    return found;
  }

  /** Forgets everything, after a pause of this process. */
  public void clear() {
    peers.clear();
  }
}
