package org.gentianslip.standin.relay;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A link and the connections that use it.
 *
 * <p>Both directions have the same rate, and each is shared by all connections. Safe for use by
 * several threads.
 */
final class Link {

  /** What happens to bytes and new connections. */
  enum State {
    OPEN,
    CUT,
    SILENT
  }

  final LinkName name;
  final LinkRate forwardRate;
  final LinkRate backwardRate;
  final AtomicLong forwardBytes = new AtomicLong();
  final AtomicLong backwardBytes = new AtomicLong();
  final AtomicLong droppedBytes = new AtomicLong();
  final Capture capture;
  private final Set<RelayConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile State state = State.OPEN;

  Link(LinkName name, double megabitsPerSecond, int captureBytes) {
    this.name = name;
    this.forwardRate = new LinkRate(megabitsPerSecond);
    this.backwardRate = new LinkRate(megabitsPerSecond);
    this.capture = new Capture(captureBytes);
  }

  State state() {
    return state;
  }

  /** Adds a connection and returns whether it may open. */
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
      case SILENCE_EXISTING -> connections.forEach(RelayConnection::lose);
      case HEAL -> {
        state = State.OPEN;
        connections.forEach(RelayConnection::resume);
      }
      default -> throw new IllegalArgumentException("action is unknown: " + action);
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
