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
 * <p>Inside a region everybody hears everybody, each round; to other regions one hello goes to one
 * instance in turn, since bytes between regions are dear. Seeds are asked while they are not heard
 * of. Safe for use by several threads.
 */
public final class FleetExchange {

  /** The time between two rounds inside a region, in milliseconds. */
  public static final long ROUND_MILLIS = 150;

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String HELLO = "/peer/v1/fleet/hello";
  private static final String PUBLISHED = "/peer/v1/fleet/published";

  /** The rounds between two hellos to another region. */
  private static final int FAR_ROUNDS = 8;

  /** The rounds between two tries at a seed that is not heard. */
  private static final int SEED_ROUNDS = 7;

  /** The silent instances that are tried at once. */
  private static final int SILENT_TRIES = 2;

  private final GatewayState state;
  private final PublishedStateUpdater intake;
  private final FleetHelloHandler news;
  private final FleetClient calls = new FleetClient();
  private final AtomicLong rounds = new AtomicLong();
  private final AtomicBoolean pulling = new AtomicBoolean();
  private final Set<String> busy = ConcurrentHashMap.newKeySet();

  /**
   * Creates an exchange.
   *
   * @param startedMillis when this process started, in Unix milliseconds
   */
  public FleetExchange(GatewayState state, PublishedStateUpdater intake, long startedMillis) {
    this.state = state;
    this.intake = intake;
    this.news = new FleetHelloHandler(state, intake, startedMillis);
  }

  /** Adds the routes that other instances call. */
  public void addTo(Jooby app) {
    app.post(HELLO, this::hello);
    app.get(
        PUBLISHED,
        ctx -> {
          ctx.setResponseType(MediaType.json);
          return ctx.send(Json.bytes(PublishedCopy.of(intake.snapshot())));
        });
  }

  private Context hello(Context ctx) {
    try {
      FleetHello hello = Json.parse(ctx.body().bytes(), FleetHello.class);
      take(hello);
      ctx.setResponseType(MediaType.json);
      boolean near = isNear(RegionId.of(hello.self().region()));
      return ctx.send(Json.bytes(news.write(System.nanoTime(), near)));
    } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "fleet: event=bad-hello from=%s cause=%s", ctx.getRemoteAddress(), e.getMessage());
      return ctx.send(StatusCode.BAD_REQUEST);
    }
  }

  private boolean isNear(RegionId region) {
    return region.equals(state.place().region());
  }

  /** Does one round; to be called each {@link #ROUND_MILLIS}. */
  public void round(long nowNanos) {
    long round = rounds.getAndIncrement();
    List<PeerRecord> live = state.peers().live(nowNanos);
    List<PeerRecord> others = live.stream().filter(p -> !isNear(p.region())).toList();
    Set<String> far = new HashSet<>();
    if (!others.isEmpty() && (round + hashCode()) % FAR_ROUNDS == 0) {
      int drawn = ThreadLocalRandom.current().nextInt(others.size());
      far.add(others.get(drawn).controlAddress());
    }
    if (round % SEED_ROUNDS == 0) {
      far.addAll(silent(nowNanos, live));
    }
    tell(nowNanos, near(live), far);
  }

  /** Tells everybody near, and one instance of each other region, at once. */
  public void announce(long nowNanos) {
    List<PeerRecord> live = state.peers().live(nowNanos);
    Set<RegionId> regions = new HashSet<>();
    Set<String> far = new HashSet<>();
    for (PeerRecord peer : live) {
      if (!isNear(peer.region()) && regions.add(peer.region())) {
        far.add(peer.controlAddress());
      }
    }
    tell(nowNanos, near(live), far);
  }

  private Set<String> near(List<PeerRecord> live) {
    Set<String> near = new HashSet<>();
    live.stream().filter(p -> isNear(p.region())).forEach(p -> near.add(p.controlAddress()));
    return near;
  }

  /** Returns some seeds and known instances that are not heard. */
  private List<String> silent(long nowNanos, List<PeerRecord> live) {
    List<String> silent = new ArrayList<>(state.place().seeds());
    state.peers().known(nowNanos).forEach(p -> silent.add(p.controlAddress()));
    live.forEach(p -> silent.removeIf(p.controlAddress()::equals));
    silent.remove(state.place().controlAddress());
    Collections.shuffle(silent);
    return silent.stream().limit(SILENT_TRIES).toList();
  }

  private void tell(long nowNanos, Set<String> near, Set<String> far) {
    if (!near.isEmpty()) {
      byte[] hello = Json.bytes(news.write(nowNanos, true));
      near.forEach(address -> send(address, hello));
    }
    if (!far.isEmpty()) {
      byte[] hello = Json.bytes(news.write(nowNanos, false));
      far.forEach(address -> send(address, hello));
    }
  }

  private void send(String address, byte[] hello) {
    if (address.equals(state.place().controlAddress()) || !busy.add(address)) {
      return;
    }
    calls.post(
        address,
        HELLO,
        hello,
        FleetHello.class,
        new FleetClient.Listener<>() {
          @Override
          public void answered(FleetHello answer) {
            busy.remove(address);
            take(answer);
          }

          @Override
          public void failed() {
            busy.remove(address);
          }
        });
  }

  private void take(FleetHello hello) {
    if (news.take(System.nanoTime(), hello)) {
      pull(hello.self().toRecord());
    }
  }

  private void pull(PeerRecord peer) {
    if (!pulling.compareAndSet(false, true)) {
      return;
    }
    calls.get(
        peer.controlAddress(),
        PUBLISHED,
        PublishedCopy.class,
        new FleetClient.Listener<>() {
          @Override
          public void answered(PublishedCopy copy) {
            takeCopy(peer, copy);
            pulling.set(false);
          }

          @Override
          public void failed() {
            pulling.set(false);
            LOGGER.atInfo().log("fleet: event=no-copy from=%s", peer.id());
          }
        });
  }

  private void takeCopy(PeerRecord peer, PublishedCopy copy) {
    long before = intake.revision();
    if (copy.revision() > before) {
      intake.take(copy.toItems(), copy.revision());
      LOGGER.atInfo().log(
          "fleet: event=copied from=%s revision=%s before=%s", peer.id(), copy.revision(), before);
    }
  }

  /** Closes idle connections, after a pause of this process. */
  public void evictConnections() {
    calls.evictConnections();
  }
}
