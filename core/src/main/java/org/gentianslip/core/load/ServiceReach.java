package org.gentianslip.core.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;

/**
 * Which services this instance can't open connections to, as shown by its own connections.
 *
 * <p>A service is suspected once connections to two of its backend servers, or to the only one,
 * have failed with none established in between, and unreached once that holds for {@link #DECISIVE}
 * of them, or for all. Only new connections count: those that were established before a partition
 * may live on in it. It is reached again with the first connection that is established. Whether the
 * servers are down or this instance is cut off from them, other instances must tell. Thread-safe.
 */
public final class ServiceReach {

  /** The backend servers that decide; fewer if the service has fewer. */
  static final int DECISIVE = 6;

  private static final int SUSPICIOUS = 2;

  /** How long a failed connection counts while the service is not unreached. */
  static final long EVIDENCE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** The time between two connections that are tried to a server of a suspected service. */
  static final long TRIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** The time between two connections that are tried to a service that is unreached. */
  static final long RETRIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(240);

  /** How long other instances still help after a service is reached again. */
  static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** What is known of one service. */
  public enum State {
    REACHED,
    SUSPECTED,
    UNREACHED
  }

  private final Map<ServiceId, Service> services = new HashMap<>();
  private volatile Set<ServiceId> unreached = Set.of();

  private static final class Service {
    final Map<EngineId, Long> failedNanos = new HashMap<>();
    final Map<EngineId, Long> triedNanos = new HashMap<>();
    State state = State.REACHED;
    long reachedNanos;
    long lastTrialNanos;
    boolean tried;
    boolean returning;
    long returnedNanos;

    Service(long nowNanos) {
      reachedNanos = nowNanos;
    }
  }

  /** Records that a connection to a backend server was established. */
  public synchronized void recordReached(long nowNanos, ServiceId id) {
    Service service = service(nowNanos, id);
    service.failedNanos.clear();
    service.triedNanos.clear();
    service.reachedNanos = nowNanos;
    if (service.state == State.UNREACHED) {
      service.returning = true;
      service.returnedNanos = nowNanos;
    }
    setState(id, service, State.REACHED);
  }

  /**
   * Records that a connection to a backend server could not be established.
   *
   * @param known the backend servers of the service that this instance may use
   */
  public synchronized void recordFailed(
      long nowNanos, ServiceId id, EngineId server, Set<EngineId> known) {
    Service service = service(nowNanos, id);
    service.failedNanos.put(server, nowNanos);
    update(nowNanos, id, known);
  }

  /** Updates the state of a service whose backend servers may have changed. */
  public synchronized void update(long nowNanos, ServiceId id, Set<EngineId> known) {
    Service service = service(nowNanos, id);
    service.failedNanos.keySet().retainAll(known);
    service.triedNanos.keySet().retainAll(known);
    if (service.state == State.UNREACHED && !known.isEmpty()) {
      return;
    }
    service.failedNanos.values().removeIf(t -> nowNanos - t > EVIDENCE_NANOS);
    int failed = service.failedNanos.size();
    if (failed > 0 && failed >= Math.min(DECISIVE, known.size())) {
      setState(id, service, State.UNREACHED);
    } else if (failed >= SUSPICIOUS) {
      setState(id, service, State.SUSPECTED);
    } else {
      setState(id, service, State.REACHED);
    }
  }

  private Service service(long nowNanos, ServiceId id) {
    return services.computeIfAbsent(id, s -> new Service(nowNanos));
  }

  private void setState(ServiceId id, Service service, State next) {
    if (service.state == next) {
      return;
    }
    service.state = next;
    Set<ServiceId> changed = new HashSet<>(unreached);
    if (next == State.UNREACHED) {
      changed.add(id);
    } else {
      changed.remove(id);
    }
    unreached = Set.copyOf(changed);
  }

  /**
   * Returns the backend servers to which a connection should be tried now, and counts them as
   * tried: while a service is suspected, all that decide; while it is unreached, one at a time.
   */
  public synchronized List<EngineId> pollTrials(long nowNanos, ServiceId id, Set<EngineId> known) {
    Service service = service(nowNanos, id);
    if (service.state == State.REACHED) {
      return List.of();
    }
    boolean suspected = service.state == State.SUSPECTED;
    if (!suspected && service.tried && nowNanos - service.lastTrialNanos < RETRIAL_NANOS) {
      return List.of();
    }
    int most = suspected ? DECISIVE : 1;
    long pauseNanos = suspected ? TRIAL_NANOS : RETRIAL_NANOS;
    List<EngineId> oldestFirst = new ArrayList<>(known);
    oldestFirst.sort(
        (a, b) -> Long.compare(sinceNanos(nowNanos, service, b), sinceNanos(nowNanos, service, a)));
    Iterator<EngineId> candidates = oldestFirst.iterator();
    List<EngineId> trials = new ArrayList<>();
    while (candidates.hasNext() && trials.size() < most) {
      EngineId candidate = candidates.next();
      if (sinceNanos(nowNanos, service, candidate) >= pauseNanos) {
        service.triedNanos.put(candidate, nowNanos);
        service.tried = true;
        service.lastTrialNanos = nowNanos;
        trials.add(candidate);
      }
    }
    return trials;
  }

  private static long sinceNanos(long nowNanos, Service service, EngineId server) {
    Long tried = service.triedNanos.get(server);
    Long failed = service.failedNanos.get(server);
    long sinceTried = tried == null ? Long.MAX_VALUE : nowNanos - tried;
    long sinceFailed = failed == null ? Long.MAX_VALUE : nowNanos - failed;
    return Math.min(sinceTried, sinceFailed);
  }

  /** Returns the services to which a connection has failed and none was established since. */
  public synchronized Set<ServiceId> doubted() {
    Set<ServiceId> doubted = new HashSet<>();
    services.forEach(
        (id, service) -> {
          if (service.state != State.REACHED || !service.failedNanos.isEmpty()) {
            doubted.add(id);
          }
        });
    return doubted;
  }

  /** Returns the services that this instance can't reach. */
  public Set<ServiceId> unreached() {
    return unreached;
  }

  /** Returns whether a service can't be reached. */
  public boolean isUnreached(ServiceId id) {
    return unreached.contains(id);
  }

  /** Returns whether a service was reached again a short time ago. */
  public synchronized boolean isReturning(long nowNanos, ServiceId id) {
    Service service = services.get(id);
    return service != null
        && service.returning
        && service.state != State.UNREACHED
        && nowNanos - service.returnedNanos < RETURN_NANOS;
  }

  /** Returns the state of a service. */
  public synchronized State state(ServiceId id) {
    Service service = services.get(id);
    return service == null ? State.REACHED : service.state;
  }

  /** Returns the backend servers of a service to which connections have failed, for logs. */
  public synchronized Set<EngineId> failed(ServiceId id) {
    Service service = services.get(id);
    return service == null ? Set.of() : Set.copyOf(service.failedNanos.keySet());
  }

  /**
   * Returns the time since a connection to a service was last established, or first tried if none
   * was, in nanoseconds.
   */
  public synchronized long reachedAgeNanos(long nowNanos, ServiceId id) {
    Service service = services.get(id);
    return service == null ? 0 : nowNanos - service.reachedNanos;
  }

  /** Returns the longest such time of the services that are unreached; 0 if none is. */
  public long unreachedNanos(long nowNanos) {
    return unreached.stream().mapToLong(s -> reachedAgeNanos(nowNanos, s)).max().orElse(0);
  }
}
