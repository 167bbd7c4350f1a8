package org.gentianslip.standin.relay;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A simulated link between two regions, with the connections that use it.
 *
 * <p>Both directions have the same rate, which all connections share. Safe for use by several
 * threads.
 */
final class RelayLink {

  /** The state of a link: working, refusing connections, or holding all bytes. */
  enum State {
    OPEN,
    CUT,
    SILENT
  }

  final LinkName name;
  final LinkRateLimiter forwardRate;
  final LinkRateLimiter backwardRate;
  final AtomicLong forwardBytes = new AtomicLong();
  final AtomicLong backwardBytes = new AtomicLong();
  final AtomicLong droppedBytes = new AtomicLong();
  final ByteCapture capture;
  private final Set<RelayConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile State state = State.OPEN;

  RelayLink(LinkName name, double megabitsPerSecond, int captureBytes) {
    this.name = name;
    this.forwardRate = new LinkRateLimiter(megabitsPerSecond);
    this.backwardRate = new LinkRateLimiter(megabitsPerSecond);
    this.capture = new ByteCapture(captureBytes);
  }

  State state() {
    return state;
  }

  /** Adds a connection and returns whether it may be opened. */
  boolean add(RelayConnection connection) {
    connections.add(connection);
    if (state == State.CUT) {
      connections.remove(connection);
      return false;
    }
    return true;
  }

  void remove(RelayConnection connection) {
    connections.remove(connection);
  }

  void apply(LinkAction action) {
    switch (action) {
      case CUT -> {
        state = State.CUT;
        connections.forEach(RelayConnection::reset);
      }
      case SILENCE -> state = State.SILENT;
      case SILENCE_EXISTING -> connections.forEach(RelayConnection::startDiscarding);
      case HEAL -> {
        state = State.OPEN;
        connections.forEach(RelayConnection::resume);
      }
      default -> throw new IllegalArgumentException("unknown action: " + action);
    }
  }

  LinkReport report() {
    return new LinkReport(
        name.toString(),
        state.name(),
        connections.size(),
        forwardBytes.get(),
        backwardBytes.get(),
        droppedBytes.get());
  }
}
