package org.gentianslip.entry.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.load.PeerLoad;
import org.gentianslip.core.membership.PeerRecord;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.entry.gateway.GatewayPlace;
import org.gentianslip.entry.gateway.GatewayState;
import org.gentianslip.entry.published.PublishedIntake;

/**
 * Writes what this instance tells others, and takes what they tell.
 *
 * <p>Safe for use by several threads.
 */
final class FleetNews {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** How old the own news may be before another instance is asked for its. */
  private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** How long news of prompts is told near and far: some rounds. */
  private static final long NEAR_NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long FAR_NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final GatewayState state;
  private final PublishedIntake intake;
  private final long startedMillis;
  private final AtomicLong beat = new AtomicLong();
  private final Set<InstanceId> heard = ConcurrentHashMap.newKeySet();

  /**
   * Creates the news of an instance.
   *
   * @param startedMillis when this process started, in Unix milliseconds
   */
  FleetNews(GatewayState state, PublishedIntake intake, long startedMillis) {
    this.state = state;
    this.intake = intake;
    this.startedMillis = startedMillis;
  }

  private long version() {
    return state.published().routes().map(RouteTable::version).orElse(0L);
  }

  /**
   * Returns what is told to another instance.
   *
   * @param near whether it is in the same region
   */
  FleetHello write(long nowNanos, boolean near) {
    List<FleetHello.Instance> others =
        state.peers().live(nowNanos).stream().map(FleetHello.Instance::of).toList();
    long window = near ? NEAR_NEWS_NANOS : FAR_NEWS_NANOS;
    List<FleetHello.Prompt> prompts =
        state.prompts().learnedWithin(nowNanos, window).stream()
            .map(h -> FleetHello.Prompt.of(nowNanos, h))
            .toList();
    return new FleetHello(
        FleetHello.Instance.of(self(nowNanos)),
        intake.revision(),
        version(),
        others,
        near ? loads(nowNanos) : Map.of(),
        prompts);
  }

  private Map<String, double[]> loads(long nowNanos) {
    Map<String, double[]> loads = new HashMap<>();
    state
        .loads()
        .forEach(
            (id, load) -> {
              PeerLoad own = load.localLoad(nowNanos);
              loads.put(
                  id.value(),
                  new double[] {
                    own.running(),
                    Math.round(own.urgentPrefillMillis()),
                    Math.round(own.otherPrefillMillis())
                  });
            });
    return loads;
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
        place.controlAddress(),
        place.host() + ":" + place.forwardPort(),
        state.ready(),
        state.leaving(),
        state.waits(nowNanos));
  }

  /**
   * Takes what another instance tells.
   *
   * @return whether it knows more of what is published
   */
  boolean take(long nowNanos, FleetHello hello) {
    PeerRecord peer = hello.self().toRecord();
    if (peer.id().equals(state.place().id())) {
      return false;
    }
    state.peers().recordDirect(nowNanos, peer);
    if (heard.add(peer.id())) {
      LOGGER.atInfo().log(
          "fleet: event=heard instance=%s region=%s life=%s",
          peer.id(), peer.region(), peer.startedMillis());
    }
    hello.others().forEach(o -> state.peers().recordRelayed(nowNanos, o.toRecord()));
    hello.loads().forEach((id, load) -> takeLoad(nowNanos, peer.id(), EngineId.of(id), load));
    hello.prompts().forEach(p -> state.heardPrompt(nowNanos, p.toHolder(nowNanos)));
    boolean behind = hello.version() > version() || state.published().routes().isEmpty();
    boolean stale = state.ageNanos(nowNanos) > STALE_NANOS && hello.revision() > intake.revision();
    return (behind || stale) && hello.version() > 0;
  }

  private void takeLoad(long nowNanos, InstanceId from, EngineId engine, double[] load) {
    var heardLoad = new PeerLoad((int) load[0], load[1], load[2], nowNanos);
    state.load(engine).ifPresent(known -> known.recordPeerLoad(from, heardLoad));
  }
}
