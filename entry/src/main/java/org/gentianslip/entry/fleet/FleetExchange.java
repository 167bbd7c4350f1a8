package org.gentianslip.entry.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.membership.PeerRecord;
import org.gentianslip.entry.gateway.GatewayState;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.published.PublishedStateUpdater;

/**
 * Exchanges hellos with other instances.
 *
 * <p>In each round, a hello is sent to every live instance of the same region. Only every eighth
 * round sends a hello to another region, to one random instance, because traffic between regions is
 * expensive. Seeds and known instances that are silent are retried periodically. Safe for use by
 * several threads.
 */
public final class FleetExchange {

  /** The interval between rounds, in milliseconds. */
  public static final long ROUND_MILLIS = 150;

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String HELLO = "/peer/v1/fleet/hello";
  private static final String PUBLISHED = "/peer/v1/fleet/published";

  /** The number of rounds per hello to another region. */
  private static final int REMOTE_ROUNDS = 8;

  /** The number of rounds per retry of silent addresses. */
  private static final int SILENT_RETRY_ROUNDS = 7;

  /** The maximum number of silent addresses to retry in one round. */
  private static final int MAX_SILENT_PER_ROUND = 2;

  private final GatewayState state;
  private final PublishedStateUpdater updater;
  private final FleetHelloHandler helloHandler;
  private final FleetClient client = new FleetClient();
  private final AtomicLong roundCount = new AtomicLong();
  private final AtomicBoolean pulling = new AtomicBoolean();
  private final Set<String> pendingAddresses = ConcurrentHashMap.newKeySet();

  /**
   * Creates an exchange for this instance.
   *
   * @param startedMillis the start time of this process, in Unix milliseconds
   */
  public FleetExchange(GatewayState state, PublishedStateUpdater updater, long startedMillis) {
    this.state = state;
    this.updater = updater;
    this.helloHandler = new FleetHelloHandler(state, updater, startedMillis);
  }

  /** Adds the HTTP routes that other instances call. */
  public void addTo(Jooby app) {
    app.post(HELLO, this::receiveHello);
    app.get(
        PUBLISHED,
        ctx -> {
          ctx.setResponseType(MediaType.json);
          return ctx.send(Json.bytes(PublishedCopy.of(updater.snapshot())));
        });
  }

  private Context receiveHello(Context ctx) {
    try {
      FleetHello hello = Json.parse(ctx.body().bytes(), FleetHello.class);
      applyHello(hello);
      ctx.setResponseType(MediaType.json);
      boolean local = isSameRegion(RegionId.of(hello.self().region()));
      return ctx.send(Json.bytes(helloHandler.create(System.nanoTime(), local)));
    } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "fleet: event=bad-hello from=%s cause=%s", ctx.getRemoteAddress(), e.getMessage());
      return ctx.send(StatusCode.BAD_REQUEST);
    }
  }

  private boolean isSameRegion(RegionId region) {
    return region.equals(state.config().region());
  }

  /** Performs one round; must be called every {@link #ROUND_MILLIS}. */
  public void round(long nowNanos) {
    long round = roundCount.getAndIncrement();
    List<PeerRecord> live = state.peers().live(nowNanos);
    List<PeerRecord> remotePeers = live.stream().filter(p -> !isSameRegion(p.region())).toList();
    Set<String> remote = new HashSet<>();
    if (!remotePeers.isEmpty() && (round + hashCode()) % REMOTE_ROUNDS == 0) {
      int index = ThreadLocalRandom.current().nextInt(remotePeers.size());
      remote.add(remotePeers.get(index).controlAddress());
    }
    if (round % SILENT_RETRY_ROUNDS == 0) {
      remote.addAll(silentAddresses(nowNanos, live));
    }
    sendHellos(nowNanos, localAddresses(live), remote);
  }

  /** Sends a hello now, to all live instances of this region and to one of each other region. */
  public void announce(long nowNanos) {
    List<PeerRecord> live = state.peers().live(nowNanos);
    Set<RegionId> regions = new HashSet<>();
    Set<String> remote = new HashSet<>();
    for (PeerRecord peer : live) {
      if (!isSameRegion(peer.region()) && regions.add(peer.region())) {
        remote.add(peer.controlAddress());
      }
    }
    sendHellos(nowNanos, localAddresses(live), remote);
  }

  private Set<String> localAddresses(List<PeerRecord> live) {
    Set<String> local = new HashSet<>();
    live.stream().filter(p -> isSameRegion(p.region())).forEach(p -> local.add(p.controlAddress()));
    return local;
  }

  /** Returns random addresses of seeds and known instances that are not live. */
  private List<String> silentAddresses(long nowNanos, List<PeerRecord> live) {
    List<String> silentAddresses = new ArrayList<>(state.config().seeds());
    state.peers().known(nowNanos).forEach(p -> silentAddresses.add(p.controlAddress()));
    live.forEach(p -> silentAddresses.removeIf(p.controlAddress()::equals));
    silentAddresses.remove(state.config().controlAddress());
    Collections.shuffle(silentAddresses);
    return silentAddresses.stream().limit(MAX_SILENT_PER_ROUND).toList();
  }

  private void sendHellos(long nowNanos, Set<String> local, Set<String> remote) {
    if (!local.isEmpty()) {
      byte[] hello = Json.bytes(helloHandler.create(nowNanos, true));
      local.forEach(address -> send(address, hello));
    }
    if (!remote.isEmpty()) {
      byte[] hello = Json.bytes(helloHandler.create(nowNanos, false));
      remote.forEach(address -> send(address, hello));
    }
  }

  private void send(String address, byte[] hello) {
    if (address.equals(state.config().controlAddress()) || !pendingAddresses.add(address)) {
      return;
    }
    client.post(
        address,
        HELLO,
        hello,
        FleetHello.class,
        new FleetClient.Listener<>() {
          @Override
          public void onResponse(FleetHello response) {
            pendingAddresses.remove(address);
            applyHello(response);
          }

          @Override
          public void onFailure() {
            pendingAddresses.remove(address);
          }
        });
  }

  private void applyHello(FleetHello hello) {
    if (helloHandler.apply(System.nanoTime(), hello)) {
      pullPublished(hello.self().toRecord());
    }
  }

  private void pullPublished(PeerRecord peer) {
    if (!pulling.compareAndSet(false, true)) {
      return;
    }
    client.get(
        peer.controlAddress(),
        PUBLISHED,
        PublishedCopy.class,
        new FleetClient.Listener<>() {
          @Override
          public void onResponse(PublishedCopy copy) {
            applyCopy(peer, copy);
            pulling.set(false);
          }

          @Override
          public void onFailure() {
            pulling.set(false);
            LOGGER.atInfo().log("fleet: event=no-copy from=%s", peer.id());
          }
        });
  }

  private void applyCopy(PeerRecord peer, PublishedCopy copy) {
    long before = updater.revision();
    if (copy.revision() > before) {
      updater.replace(copy.toItems(), copy.revision());
      LOGGER.atInfo().log(
          "fleet: event=copied from=%s revision=%s before=%s", peer.id(), copy.revision(), before);
    }
  }

  /** Closes idle connections, which may be stale after a pause of this process. */
  public void evictConnections() {
    client.evictConnections();
  }
}
