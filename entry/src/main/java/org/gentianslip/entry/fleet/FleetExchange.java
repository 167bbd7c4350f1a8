package org.gentianslip.entry.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.load.PeerLoad;
import org.gentianslip.core.membership.PeerRecord;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.entry.gateway.GatewayPlace;
import org.gentianslip.entry.gateway.GatewayState;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.published.PublishedIntake;

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
  private static final okhttp3.MediaType JSON = okhttp3.MediaType.get("application/json");
  private static final String HELLO = "/peer/v1/fleet/hello";
  private static final String PUBLISHED = "/peer/v1/fleet/published";

  /** The rounds between two hellos to another region. */
  private static final int FAR_ROUNDS = 8;

  /** The rounds between two tries at a seed that is not heard. */
  private static final int SEED_ROUNDS = 7;

  private static final long TIMEOUT_MILLIS = 900;
  private static final int MAX_BYTES = 4 << 20;

  /** How old the own news may be before another instance is asked for its. */
  private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** How long news of prompts is told near and far: some rounds. */
  private static final long NEAR_NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long FAR_NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final GatewayState state;
  private final PublishedIntake intake;
  private final OkHttpClient client;
  private final long startedMillis;
  private final AtomicLong beat = new AtomicLong();
  private final AtomicLong rounds = new AtomicLong();
  private final AtomicBoolean pulling = new AtomicBoolean();
  private final Set<String> busy = ConcurrentHashMap.newKeySet();
  private final Set<InstanceId> heard = ConcurrentHashMap.newKeySet();

  /**
   * Creates an exchange.
   *
   * @param startedMillis when this process started, in Unix milliseconds
   */
  public FleetExchange(GatewayState state, PublishedIntake intake, long startedMillis) {
    this.state = state;
    this.intake = intake;
    this.startedMillis = startedMillis;
    var dispatcher = new Dispatcher();
    dispatcher.setMaxRequestsPerHost(4);
    client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(new ConnectionPool(16, 5, TimeUnit.SECONDS))
            .callTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build();
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
      take(System.nanoTime(), hello);
      boolean near = hello.self().region().equals(state.place().region().value());
      ctx.setResponseType(MediaType.json);
      return ctx.send(Json.bytes(write(System.nanoTime(), near)));
    } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "fleet: event=bad-hello from=%s cause=%s", ctx.getRemoteAddress(), e.getMessage());
      return ctx.send(StatusCode.BAD_REQUEST);
    }
  }

  /** Does one round; to be called each {@link #ROUND_MILLIS}. */
  public void round(long nowNanos) {
    long round = rounds.getAndIncrement();
    GatewayPlace place = state.place();
    List<PeerRecord> live = state.peers().live(nowNanos);
    Set<String> targets = new HashSet<>();
    Set<String> known = new HashSet<>();
    List<PeerRecord> far = new ArrayList<>();
    for (PeerRecord peer : live) {
      known.add(peer.controlAddress());
      if (peer.region().equals(place.region())) {
        targets.add(peer.controlAddress());
      } else {
        far.add(peer);
      }
    }
    if (!far.isEmpty() && (round + hashCode()) % FAR_ROUNDS == 0) {
      targets.add(far.get(ThreadLocalRandom.current().nextInt(far.size())).controlAddress());
    }
    if (round % SEED_ROUNDS == 0) {
      lookForSilent(nowNanos, known, targets);
    }
    byte[] near = Json.bytes(write(nowNanos, true));
    byte[] away = Json.bytes(write(nowNanos, false));
    Set<String> nearAddresses = new HashSet<>();
    live.stream()
        .filter(p -> p.region().equals(place.region()))
        .forEach(p -> nearAddresses.add(p.controlAddress()));
    targets.forEach(t -> send(t, nearAddresses.contains(t) ? near : away));
  }

  private void lookForSilent(long nowNanos, Set<String> known, Set<String> targets) {
    List<String> silent = new ArrayList<>(state.place().seeds());
    state.peers().known(nowNanos).forEach(p -> silent.add(p.controlAddress()));
    silent.removeIf(known::contains);
    silent.remove(ownControl());
    Collections.shuffle(silent);
    silent.stream().limit(2).forEach(targets::add);
  }

  /** Tells everybody near, and one instance of each other region, at once. */
  public void announce(long nowNanos) {
    byte[] near = Json.bytes(write(nowNanos, true));
    byte[] away = Json.bytes(write(nowNanos, false));
    Set<String> regions = new HashSet<>();
    for (PeerRecord peer : state.peers().live(nowNanos)) {
      if (peer.region().equals(state.place().region())) {
        send(peer.controlAddress(), near);
      } else if (regions.add(peer.region().value())) {
        send(peer.controlAddress(), away);
      }
    }
  }

  private String ownControl() {
    return state.place().host() + ":" + state.place().controlPort();
  }

  private void send(String address, byte[] hello) {
    if (address.equals(ownControl()) || !busy.add(address)) {
      return;
    }
    var request =
        new Request.Builder()
            .url("http://" + address + HELLO)
            .post(RequestBody.create(hello, JSON))
            .build();
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                busy.remove(address);
                LOGGER.atFine().log("fleet: event=no-answer from=%s cause=%s", address, e);
              }

              @Override
              public void onResponse(Call call, Response response) {
                busy.remove(address);
                answered(address, response);
              }
            });
  }

  private void answered(String address, Response response) {
    try (response) {
      if (response.isSuccessful()) {
        FleetHello hello = Json.parse(response.peekBody(MAX_BYTES).bytes(), FleetHello.class);
        take(System.nanoTime(), hello);
      }
    } catch (IOException | IllegalArgumentException | NullPointerException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "fleet: event=bad-answer from=%s cause=%s", address, e);
    }
  }

  private void take(long nowNanos, FleetHello hello) {
    PeerRecord peer = hello.self().toRecord();
    if (peer.id().equals(state.place().id())) {
      return;
    }
    state.peers().heardDirectly(nowNanos, peer);
    if (heard.add(peer.id())) {
      LOGGER.atInfo().log(
          "fleet: event=heard instance=%s region=%s life=%s",
          peer.id(), peer.region(), peer.startedMillis());
    }
    hello.others().forEach(o -> state.peers().heardOf(nowNanos, o.toRecord()));
    hello
        .loads()
        .forEach(
            (id, l) ->
                state
                    .load(EngineId.of(id))
                    .ifPresent(
                        b -> b.heard(peer.id(), new PeerLoad((int) l[0], l[1], l[2], nowNanos))));
    hello.prompts().forEach(p -> state.heardPrompt(nowNanos, p.toHolder(nowNanos)));
    long version = state.published().routes().map(RouteTable::version).orElse(0L);
    boolean behind = hello.version() > version || state.published().routes().isEmpty();
    boolean stale = state.ageNanos(nowNanos) > STALE_NANOS && hello.revision() > intake.revision();
    if ((behind || stale) && hello.version() > 0) {
      pull(peer);
    }
  }

  private void pull(PeerRecord peer) {
    if (!pulling.compareAndSet(false, true)) {
      return;
    }
    var request = new Request.Builder().url("http://" + peer.controlAddress() + PUBLISHED).build();
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                pulling.set(false);
                LOGGER.atInfo().log("fleet: event=no-copy from=%s cause=%s", peer.id(), e);
              }

              @Override
              public void onResponse(Call call, Response response) {
                try (response) {
                  takeCopy(peer, response);
                } catch (IOException | RuntimeException e) {
                  LOGGER.atWarning().log("fleet: event=bad-copy from=%s cause=%s", peer.id(), e);
                } finally {
                  pulling.set(false);
                }
              }
            });
  }

  private void takeCopy(PeerRecord peer, Response response) throws IOException {
    if (!response.isSuccessful()) {
      return;
    }
    PublishedCopy copy = Json.parse(response.peekBody(MAX_BYTES).bytes(), PublishedCopy.class);
    long before = intake.revision();
    if (copy.revision() > before) {
      intake.take(copy.toItems(), copy.revision());
      LOGGER.atInfo().log(
          "fleet: event=copied from=%s revision=%s before=%s", peer.id(), copy.revision(), before);
    }
  }

  private FleetHello write(long nowNanos, boolean near) {
    List<FleetHello.Instance> others = new ArrayList<>();
    for (PeerRecord peer : state.peers().live(nowNanos)) {
      others.add(FleetHello.Instance.of(peer));
    }
    Map<String, double[]> loads = new HashMap<>();
    if (near) {
      state
          .loads()
          .forEach(
              (id, load) -> {
                PeerLoad own = load.own(nowNanos);
                loads.put(
                    id.value(),
                    new double[] {
                      own.running(), Math.round(own.urgentMillis()), Math.round(own.otherMillis())
                    });
              });
    }
    long version = state.published().routes().map(RouteTable::version).orElse(0L);
    List<FleetHello.Prompt> prompts =
        state.prompts().learnedWithin(nowNanos, near ? NEAR_NEWS_NANOS : FAR_NEWS_NANOS).stream()
            .map(h -> FleetHello.Prompt.of(nowNanos, h))
            .toList();
    return new FleetHello(
        FleetHello.Instance.of(self(nowNanos)), intake.revision(), version, others, loads, prompts);
  }

  private PeerRecord self(long nowNanos) {
    GatewayPlace place = state.place();
    return new PeerRecord(
        place.id(),
        startedMillis,
        beat.incrementAndGet(),
        place.region(),
        place.dataCentre(),
        place.host() + ":" + place.callerPort(),
        ownControl(),
        place.host() + ":" + place.forwardPort(),
        state.ready(),
        state.leaving(),
        state.waits(nowNanos));
  }

  /** Closes idle connections, after a pause of this process. */
  public void evictConnections() {
    client.connectionPool().evictAll();
  }
}
