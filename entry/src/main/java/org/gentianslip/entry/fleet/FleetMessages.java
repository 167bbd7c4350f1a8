package org.gentianslip.entry.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.LongNode;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.gentianslip.core.fleet.LoadScope;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.fleet.SyncAck;
import org.gentianslip.core.fleet.SyncCursors;
import org.gentianslip.core.fleet.SyncMessage;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.limit.StatedLimit;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.LoadSource;
import org.gentianslip.core.load.PeerLoad;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.quarantine.EvidenceBatch;
import org.gentianslip.core.quarantine.PromptQuarantine;
import org.gentianslip.core.quota.QuotaUsage;
import org.gentianslip.core.quota.UsageSource;
import org.gentianslip.core.stream.OriginBatch;
import org.gentianslip.core.stream.OriginDemand;
import org.gentianslip.core.time.ClockReading;
import org.gentianslip.entry.clock.Clocks;
import org.gentianslip.entry.gateway.GatewayState;
import org.gentianslip.entry.published.PublishedStateUpdater;

/**
 * Creates messages for other instances and applies those received from them.
 *
 * <p>Safe for use by several threads.
 */
final class FleetMessages {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The age of the published state from which a newer copy is pulled from another instance. */
  private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  /** How long other instances are told that a backend server has ceased to name a limit. */
  private static final long END_SHARED_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** How long other instances are told that a connection to a backend server failed. */
  private static final long FAILURE_SHARED_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** The maximum number of crashes and of completed answers in one message, the oldest ones. */
  private static final int MAX_EVIDENCE = 100;

  /** The maximum number of prompts in one message, the newest ones. */
  private static final int MAX_PROMPTS = 200;

  private final GatewayState state;
  private final PublishedStateUpdater updater;
  private final SyncCursors promptCursors = new SyncCursors();
  private final SyncCursors evidenceCursors = new SyncCursors();
  private final SyncCursors originCursors = new SyncCursors();
  private final OriginDemand originDemand = new OriginDemand();
  private final Set<InstanceId> knownInstances = ConcurrentHashMap.newKeySet();

  FleetMessages(GatewayState state, PublishedStateUpdater updater) {
    this.state = state;
    this.updater = updater;
  }

  /** Returns a message for an instance of which only the address is known. */
  FleetMessage introduction() {
    return message(
        System.nanoTime(),
        state.fleet().introduction(state.ownRecord()),
        LoadScope.NONE,
        Map.of(),
        List.of(),
        0,
        SyncAck.NONE,
        new EvidenceBatch(List.of(), List.of(), 0),
        SyncAck.NONE,
        Map.of(),
        Map.of(),
        null,
        null,
        Map.of());
  }

  /**
   * Returns a message for another instance.
   *
   * @param scope whose loads to report
   */
  FleetMessage create(long nowNanos, InstanceId receiver, LoadScope scope) {
    Map<CustomerId, QuotaUsage> usage =
        scope == LoadScope.INSTANCE ? state.quotas().ledger().report(nowNanos) : null;
    return compose(nowNanos, receiver, scope, usage);
  }

  /** Returns the response to a message. */
  FleetMessage respond(long nowNanos, PeerRecord sender, LoadScope scope) {
    Map<CustomerId, QuotaUsage> usage =
        scope == LoadScope.REGION
            ? state.quotas().ledger().centreWithout(nowNanos, sourceOf(sender))
            : null;
    return compose(nowNanos, sender.id(), scope, usage);
  }

  private static UsageSource sourceOf(PeerRecord peer) {
    return new UsageSource(peer.id(), peer.incarnation());
  }

  private FleetMessage compose(
      long nowNanos, InstanceId receiver, LoadScope scope, Map<CustomerId, QuotaUsage> usage) {
    SyncMessage sync = state.fleet().compose(nowNanos, state.ownRecord(), receiver);
    long promptNumber = state.prompts().lastChange();
    List<FleetMessage.Prompt> prompts =
        state
            .prompts()
            .recordedAfter(promptCursors.acknowledgedBy(receiver), receiver, MAX_PROMPTS)
            .stream()
            .map(h -> FleetMessage.Prompt.of(nowNanos, h))
            .toList();
    EvidenceBatch evidence =
        state
            .quarantine()
            .recordedAfter(evidenceCursors.acknowledgedBy(receiver), receiver, MAX_EVIDENCE);
    Map<EngineId, BackendLoad> backends = scope == LoadScope.NONE ? Map.of() : state.loads();
    return message(
        nowNanos,
        sync,
        scope,
        loads(nowNanos, backends, receiver, scope),
        prompts,
        promptNumber,
        promptCursors.receivedFrom(receiver),
        evidence,
        evidenceCursors.receivedFrom(receiver),
        limits(nowNanos, backends, BackendLoad::limit),
        limits(nowNanos, backends, BackendLoad::refusalLimit),
        usage == null ? null : UsageFields.of(usage),
        origins(nowNanos, receiver),
        failures(nowNanos, backends));
  }

  /** Returns the origins that a receiver lacks, if any instance needs them. */
  private OriginReport origins(long nowNanos, InstanceId receiver) {
    boolean own = updater.isFailing() || state.needsOrigins(nowNanos);
    long after = originCursors.acknowledgedBy(receiver);
    OriginBatch batch =
        originDemand.isPresent(nowNanos, own)
            ? state.streamOrigins().recordedAfter(after, receiver, OriginReport.MAX_STREAMS)
            : new OriginBatch(List.of(), after);
    return OriginReport.of(
        nowNanos, batch, originCursors.receivedFrom(receiver), originDemand.steps(nowNanos, own));
  }

  private void applyOrigins(long nowNanos, PeerRecord peer, FleetMessage message) {
    OriginReport report = message.origins();
    if (report == null) {
      report = new OriginReport(List.of(), 0, FleetMessage.Ack.of(SyncAck.NONE), 0);
    }
    report
        .read(nowNanos, peer.id().value())
        .forEach(o -> state.streamOrigins().record(peer.id(), o));
    originDemand.record(nowNanos, peer.id(), report.boundedNeed());
    originCursors.record(
        peer.id(),
        new SyncAck(peer.incarnation(), report.number()),
        report.ack().toAck(),
        state.fleet().peers().ownIncarnation());
  }

  private FleetMessage message(
      long nowNanos,
      SyncMessage sync,
      LoadScope scope,
      Map<String, int[]> loads,
      List<FleetMessage.Prompt> prompts,
      long promptNumber,
      SyncAck promptAck,
      EvidenceBatch evidence,
      SyncAck evidenceAck,
      Map<String, FleetMessage.Limit> limits,
      Map<String, FleetMessage.Limit> refusalLimits,
      Map<String, JsonNode> usage,
      OriginReport origins,
      Map<String, FleetMessage.Failure> failures) {
    // Read before the version in force, which is then at least as recent as was confirmed.
    OptionalLong confirmedAge = state.knowledge().ageMillis(Clocks.read());
    Revision published = updater.revision();
    return new FleetMessage(
        FleetMessage.Instance.of(sync.self()),
        sync.number(),
        FleetMessage.Ack.of(sync.ack()),
        sync.peers().stream().map(FleetMessage.Statement::of).toList(),
        sync.summaries().stream().map(FleetMessage.Summary::of).toList(),
        published.number(),
        published.era(),
        state.routesVersion(),
        scope,
        loads,
        prompts,
        promptNumber,
        FleetMessage.Ack.of(promptAck),
        evidence.crashes().stream().map(c -> FleetMessage.Crash.of(nowNanos, c)).toList(),
        evidence.completions().stream().map(c -> FleetMessage.Completion.of(nowNanos, c)).toList(),
        evidence.number(),
        FleetMessage.Ack.of(evidenceAck),
        limits,
        usage,
        confirmedAge.isPresent() ? LongNode.valueOf(confirmedAge.getAsLong()) : null,
        origins,
        refusalLimits,
        failures);
  }

  /**
   * Applies what the response of another instance tells about the configuration. Any other message
   * may have been under way for long, so that its age is not known.
   *
   * @param sent a reading of the clocks from before the message was created that is responded to
   */
  void applyConfirmation(FleetMessage response, ClockReading sent) {
    response
        .confirmedAgeMillis()
        .ifPresent(
            millis ->
                state
                    .knowledge()
                    .applyResponse(
                        state.routesVersion(), response.version(), millis, sent, Clocks.read()));
  }

  private static Map<String, int[]> loads(
      long nowNanos, Map<EngineId, BackendLoad> backends, InstanceId receiver, LoadScope scope) {
    Map<String, int[]> loads = new HashMap<>();
    backends.forEach(
        (id, load) -> {
          PeerLoad sum = load(nowNanos, load, receiver, scope);
          int urgentMillis = (int) Math.round(sum.urgentPrefillMillis());
          int otherMillis = (int) Math.round(sum.otherPrefillMillis());
          if (sum.running() != 0 || urgentMillis != 0 || otherMillis != 0) {
            loads.put(id.value(), new int[] {sum.running(), urgentMillis, otherMillis});
          }
        });
    return loads;
  }

  /** Returns what backend servers have said about one of their limits. */
  private static Map<String, FleetMessage.Limit> limits(
      long nowNanos,
      Map<EngineId, BackendLoad> backends,
      Function<BackendLoad, Optional<StatedLimit>> limit) {
    Map<String, FleetMessage.Limit> limits = new HashMap<>();
    backends.forEach(
        (id, load) ->
            limit
                .apply(load)
                .filter(l -> l.isLimited() || nowNanos - l.heardNanos() < END_SHARED_NANOS)
                .ifPresent(l -> limits.put(id.value(), FleetMessage.Limit.of(nowNanos, l))));
    return limits;
  }

  /**
   * Returns the last failed connections to backend servers that may have started again. Those of an
   * instance that doesn't reach their service say nothing of the servers.
   */
  private Map<String, FleetMessage.Failure> failures(
      long nowNanos, Map<EngineId, BackendLoad> backends) {
    Map<String, FleetMessage.Failure> failures = new HashMap<>();
    backends.forEach(
        (id, load) ->
            load.failedNanos().stream()
                .filter(failed -> reachesServiceOf(id))
                .map(failed -> nowNanos - failed)
                .filter(age -> age < FAILURE_SHARED_NANOS)
                .map(TimeUnit.NANOSECONDS::toMillis)
                .forEach(
                    age -> failures.put(id.value(), new FleetMessage.Failure(age, startOf(id)))));
    return failures;
  }

  private boolean reachesServiceOf(EngineId id) {
    Backend published = state.published().backends().get(id);
    return published == null || state.reaches(published.service());
  }

  private long startOf(EngineId id) {
    Backend published = state.published().backends().get(id);
    return published == null ? 0 : published.startedMillis();
  }

  private void applyFailures(
      long nowNanos, PeerRecord peer, Map<String, FleetMessage.Failure> failures) {
    if (failures.isEmpty() || !peer.region().equals(state.config().region())) {
      return;
    }
    failures.forEach((id, failure) -> applyFailure(nowNanos, peer, EngineId.of(id), failure));
  }

  private void applyFailure(
      long nowNanos, PeerRecord peer, EngineId id, FleetMessage.Failure failure) {
    Optional<BackendLoad> load = state.load(id);
    boolean ofEarlierStart = failure.started() < startOf(id);
    if (load.isEmpty() || ofEarlierStart || failure.age() < 0) {
      return;
    }
    long failedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(failure.age());
    if (load.get().recordFailureOfOthers(nowNanos, failedNanos)) {
      LOGGER.atInfo().log(
          "fleet: event=restart-suspected backend=%s started=%s from=%s age=%s",
          id, startOf(id), peer.id(), failure.age());
    }
  }

  private static PeerLoad load(
      long nowNanos, BackendLoad load, InstanceId receiver, LoadScope scope) {
    return switch (scope) {
      case NONE -> PeerLoad.zero(nowNanos);
      case INSTANCE -> load.localLoad(nowNanos);
      case DATA_CENTRE -> load.dataCentreLoad(nowNanos);
      case REGION -> load.regionLoadWithout(nowNanos, LoadSource.instance(receiver));
    };
  }

  /**
   * Applies a message received from another instance.
   *
   * @param relay whether this instance is the relay of its data centre
   * @return whether the published items should be pulled from that instance
   */
  boolean apply(long nowNanos, FleetMessage message, boolean relay) {
    SyncMessage sync = message.toSync();
    PeerRecord peer = sync.self();
    if (peer.id().equals(state.config().id())) {
      return false;
    }
    state.fleet().apply(nowNanos, sync);
    if (knownInstances.add(peer.id())) {
      LOGGER.atInfo().log(
          "fleet: event=heard instance=%s region=%s life=%s wire=%s",
          peer.id(), peer.region(), peer.incarnation(), peer.wire());
    }
    source(peer, message.scope(), relay).ifPresent(s -> applyLoads(nowNanos, s, message.loads()));
    applyUsage(nowNanos, peer, message, relay);
    message.prompts().forEach(p -> state.addPromptHolder(peer.id(), p.toHolder(nowNanos)));
    promptCursors.record(
        peer.id(),
        new SyncAck(peer.incarnation(), message.promptNumber()),
        message.promptAck().toAck(),
        state.fleet().peers().ownIncarnation());
    applyEvidence(nowNanos, peer, message);
    applyOrigins(nowNanos, peer, message);
    message
        .limits()
        .forEach(
            (id, limit) ->
                state.load(EngineId.of(id)).ifPresent(l -> l.applyLimit(limit.toLimit(nowNanos))));
    message
        .refusalLimits()
        .forEach(
            (id, limit) ->
                state
                    .load(EngineId.of(id))
                    .ifPresent(l -> l.applyRefusalLimit(limit.toLimit(nowNanos))));
    applyFailures(nowNanos, peer, message.failures());
    state.knowledge().recordStated(message.version(), nowNanos);
    boolean behind =
        message.version() > state.routesVersion() || state.published().routes().isEmpty();
    boolean stale =
        state.confirmationAgeNanos(nowNanos) > STALE_NANOS
            && message.publishedRevision().isAfter(updater.revision());
    return (behind || stale) && message.version() > 0;
  }

  private void applyUsage(long nowNanos, PeerRecord peer, FleetMessage message, boolean relay) {
    boolean sameDataCentre = peer.dataCentre().equals(state.config().dataCentre());
    if (message.usage() == null || !sameDataCentre) {
      return;
    }
    if (message.scope() == LoadScope.INSTANCE) {
      Map<CustomerId, QuotaUsage> usage = UsageFields.read(message.usage());
      state.quotas().ledger().applyMember(nowNanos, sourceOf(peer), usage);
    } else if (message.scope() == LoadScope.REGION && !relay) {
      state.quotas().ledger().applyRelay(nowNanos, UsageFields.read(message.usage()));
    }
  }

  private void applyEvidence(long nowNanos, PeerRecord peer, FleetMessage message) {
    PromptQuarantine quarantine = state.quarantine();
    message
        .crashes()
        .forEach(c -> quarantine.applyCrash(nowNanos, peer.id(), c.toReport(nowNanos)));
    message
        .completions()
        .forEach(c -> quarantine.applyCompletion(nowNanos, peer.id(), c.toReport(nowNanos)));
    evidenceCursors.record(
        peer.id(),
        new SyncAck(peer.incarnation(), message.evidenceNumber()),
        message.evidenceAck().toAck(),
        state.fleet().peers().ownIncarnation());
  }

  private Optional<LoadSource> source(PeerRecord peer, LoadScope scope, boolean relay) {
    boolean sameDataCentre = peer.dataCentre().equals(state.config().dataCentre());
    return switch (scope) {
      case NONE -> Optional.empty();
      case INSTANCE ->
          sameDataCentre ? Optional.of(LoadSource.instance(peer.id())) : Optional.empty();
      case DATA_CENTRE ->
          sameDataCentre ? Optional.empty() : Optional.of(LoadSource.dataCentre(peer.dataCentre()));
      case REGION -> relay ? Optional.empty() : Optional.of(LoadSource.restOfRegion());
    };
  }

  private void applyLoads(long nowNanos, LoadSource source, Map<String, int[]> loads) {
    for (Map.Entry<EngineId, BackendLoad> e : state.loads().entrySet()) {
      int[] load = loads.get(e.getKey().value());
      if (load == null) {
        e.getValue().clearPeerLoad(source, nowNanos);
      } else {
        e.getValue().recordPeerLoad(source, new PeerLoad(load[0], load[1], load[2], nowNanos));
      }
    }
  }
}
