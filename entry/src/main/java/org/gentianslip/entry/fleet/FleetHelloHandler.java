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
import org.gentianslip.entry.gateway.GatewayConfig;
import org.gentianslip.entry.gateway.GatewayState;
import org.gentianslip.entry.published.PublishedStateUpdater;

/**
 * Creates hellos for other instances and applies the hellos received from them.
 *
 * <p>Safe for use by several threads.
 */
final class FleetHelloHandler {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The age of the published state from which a newer copy is pulled from another instance. */
  private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** How long the reading of a prompt is reported within the region; spans several rounds. */
  private static final long LOCAL_PROMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How long the reading of a prompt is reported to other regions; spans several rounds. */
  private static final long REMOTE_PROMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final GatewayState state;
  private final PublishedStateUpdater updater;
  private final long startedMillis;
  private final AtomicLong beat = new AtomicLong();
  private final Set<InstanceId> knownInstances = ConcurrentHashMap.newKeySet();

  /**
   * Creates a handler for this instance.
   *
   * @param startedMillis the start time of this process, in Unix milliseconds
   */
  FleetHelloHandler(GatewayState state, PublishedStateUpdater updater, long startedMillis) {
    this.state = state;
    this.updater = updater;
    this.startedMillis = startedMillis;
  }

  private long routesVersion() {
    return state.published().routes().map(RouteTable::version).orElse(0L);
  }

  /**
   * Returns a hello for another instance.
   *
   * @param local whether that instance is in the same region
   */
  FleetHello create(long nowNanos, boolean local) {
    List<FleetHello.Instance> others =
        state.peers().live(nowNanos).stream().map(FleetHello.Instance::of).toList();
    long windowNanos = local ? LOCAL_PROMPT_NANOS : REMOTE_PROMPT_NANOS;
    List<FleetHello.Prompt> prompts =
        state.prompts().recordedWithin(nowNanos, windowNanos).stream()
            .map(h -> FleetHello.Prompt.of(nowNanos, h))
            .toList();
    return new FleetHello(
        FleetHello.Instance.of(ownRecord(nowNanos)),
        updater.revision(),
        routesVersion(),
        others,
        local ? ownLoads(nowNanos) : Map.of(),
        prompts);
  }

  private Map<String, double[]> ownLoads(long nowNanos) {
    Map<String, double[]> loads = new HashMap<>();
    state
        .loads()
        .forEach(
            (id, load) -> {
              PeerLoad ownLoad = load.localLoad(nowNanos);
              loads.put(
                  id.value(),
                  new double[] {
                    ownLoad.running(),
                    Math.round(ownLoad.urgentPrefillMillis()),
                    Math.round(ownLoad.otherPrefillMillis())
                  });
            });
    return loads;
  }

  private PeerRecord ownRecord(long nowNanos) {
    GatewayConfig config = state.config();
    return new PeerRecord(
        config.id(),
        startedMillis,
        beat.incrementAndGet(),
        config.region(),
        config.dataCentre(),
        config.host() + ":" + config.callerPort(),
        config.controlAddress(),
        config.host() + ":" + config.forwardPort(),
        state.ready(),
        state.leaving(),
        state.waits(nowNanos));
  }

  /**
   * Applies a hello received from another instance.
   *
   * @return whether the published items should be pulled from that instance
   */
  boolean apply(long nowNanos, FleetHello hello) {
    PeerRecord peer = hello.self().toRecord();
    if (peer.id().equals(state.config().id())) {
      return false;
    }
    state.peers().recordDirect(nowNanos, peer);
    if (knownInstances.add(peer.id())) {
      LOGGER.atInfo().log(
          "fleet: event=heard instance=%s region=%s life=%s",
          peer.id(), peer.region(), peer.startedMillis());
    }
    hello.others().forEach(o -> state.peers().recordRelayed(nowNanos, o.toRecord()));
    hello.loads().forEach((id, load) -> applyLoad(nowNanos, peer.id(), EngineId.of(id), load));
    hello.prompts().forEach(p -> state.addPromptHolder(nowNanos, p.toHolder(nowNanos)));
    boolean behind = hello.version() > routesVersion() || state.published().routes().isEmpty();
    boolean stale =
        state.confirmationAgeNanos(nowNanos) > STALE_NANOS && hello.revision() > updater.revision();
    return (behind || stale) && hello.version() > 0;
  }

  private void applyLoad(long nowNanos, InstanceId from, EngineId engine, double[] load) {
    var peerLoad = new PeerLoad((int) load[0], load[1], load[2], nowNanos);
    state.load(engine).ifPresent(backendLoad -> backendLoad.recordPeerLoad(from, peerLoad));
  }
}
