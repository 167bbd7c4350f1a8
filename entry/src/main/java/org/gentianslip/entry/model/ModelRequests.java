package org.gentianslip.entry.model;

import java.time.Duration;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.routing.RoutingRequest;
import org.gentianslip.entry.caller.EntryDirectory;
import org.gentianslip.entry.caller.RequestIds;
import org.gentianslip.entry.caller.RequestSettings;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.ResponseSink;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.process.InFlight;
import org.gentianslip.entry.relay.RetryRules;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.SettingCatalog;

/**
 * Serves model requests of callers and of peers.
 *
 * <p>Peers' requests have no way to leave the region. Safe for use by several threads.
 */
public final class ModelRequests {

  private static final int MAX_ATTEMPTS = 3;
  private static final long LEAST_USEFUL_NANOS = 10_000_000L;
  private static final long HASH_SEED = 0x67656e7469616eL;

  private final FleetState state;
  private final EntryDirectory directory;
  private final PrefixDigest digest;
  private final EntryMetrics metrics;
  private final RequestIds routeIds;
  private final RetryRules retries;
  private final Forwarding toPeers;
  private final Forwarding nowhere = new NoForwarding();
  private final ModelDispatcher dispatcher;

  /** Creates the dispatcher. */
  public ModelRequests(
      FleetState state,
      EntryDirectory directory,
      UpstreamClient client,
      EntryMetrics metrics,
      DecisionLog decisions,
      InFlight inFlight) {
    this.state = state;
    this.directory = directory;
    this.metrics = metrics;
    this.digest = new PrefixDigest(state.place().peerKey());
    this.routeIds = new RequestIds(state.place().instance(), state.incarnation());
    this.toPeers = new PeerForwarding(state, client);
    var report = new ModelReport(state, metrics, decisions, inFlight);
    this.retries = new RetryRules(state, MAX_ATTEMPTS, LEAST_USEFUL_NANOS);
    var waiting = ModelDispatcher.newWaiting();
    this.dispatcher =
        new ModelDispatcher(
            state,
            new ModelQueues(state, new ChosenPolicy(state, waiting, HASH_SEED)),
            waiting,
            retries,
            report,
            attempts(state, client, report));
  }

  private static ModelDispatcher.Attempts attempts(
      FleetState state, UpstreamClient client, ModelReport report) {
    return new ModelDispatcher.Attempts() {
      @Override
      public EngineAttempts engines(AttemptEnds ends) {
        return new EngineAttempts(state, client, report, ends);
      }

      @Override
      public RegionAttempts regions(AttemptEnds ends) {
        return new RegionAttempts(state, report, ends);
      }
    };
  }

  /** Takes a caller's request. */
  public void fromCaller(
      long nowNanos,
      RequestId id,
      RequestSettings settings,
      String path,
      byte[] body,
      ResponseSink sink) {
    take(nowNanos, id, settings, path, body, sink, settings.deadline(), false);
  }

  /** Takes a request that a peer forwarded; it stays in this region. */
  public void fromPeer(
      long nowNanos,
      RequestId id,
      RequestSettings settings,
      String path,
      byte[] body,
      ResponseSink sink,
      Duration remaining) {
    take(nowNanos, id, settings, path, body, sink, remaining, true);
  }

  private void take(
      long nowNanos,
      RequestId id,
      RequestSettings settings,
      String path,
      byte[] body,
      ResponseSink sink,
      Duration remaining,
      boolean forwarded) {
    if (state.leaving()) {
      var reply = ErrorReply.notRun(ErrorCode.LEAVING, "This instance is leaving.");
      refuse(
          settings,
          sink,
          forwarded
              ? reply.withHeader(HeaderNames.NOT_STARTED, "true")
              : reply.withEntries(directory.entriesFor(nowNanos, settings)));
      return;
    }
    ModelBody.Result read = ModelBody.read(body);
    if (read instanceof ModelBody.Result.Invalid invalid) {
      refuse(settings, sink, invalid.reply());
      return;
    }
    ModelBody parsed = ((ModelBody.Result.Valid) read).body();
    if (!knowsModel(parsed.model())) {
      var reply = ErrorReply.notRun(ErrorCode.UNKNOWN_MODEL, "The model is not known.");
      refuse(settings, sink, reply);
      return;
    }
    var route = route(nowNanos, settings, parsed, remaining, forwarded);
    retries.requestStarted();
    dispatcher.submit(
        nowNanos,
        new ModelExchange(
            id,
            route,
            settings,
            forwarded ? nowhere : toPeers,
            path,
            body,
            parsed.stream(),
            sink,
            nowNanos + remaining.toNanos()));
  }

  private void refuse(RequestSettings settings, ResponseSink sink, ErrorReply reply) {
    metrics.refused(settings.rank(), reply.code().text());
    sink.fail(reply);
  }

  private boolean knowsModel(String model) {
    try {
      return state.settings().models().contains(ModelId.of(model));
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private RoutingRequest route(
      long nowNanos,
      RequestSettings settings,
      ModelBody body,
      Duration remaining,
      boolean forwarded) {
    int prefixTokens = settings.effective().get(SettingCatalog.PREFIX_TOKENS);
    Duration firstToken = settings.firstTokenLimit();
    Duration wait = firstToken.compareTo(remaining) < 0 ? firstToken : remaining;
    return new RoutingRequest(
        routeIds.choose(null),
        settings.customer(),
        settings.kind(),
        settings.rank(),
        ModelId.of(body.model()),
        digest.of(settings.customer().value(), body.prompt(), prefixTokens),
        body.prompt().length() / PrefixDigest.CHARS_PER_TOKEN,
        body.maxTokens(),
        nowNanos,
        nowNanos + wait.toNanos(),
        settings.allowedRegions(),
        forwarded);
  }

  /** Decides again about the waiting requests; to be called from time to time. */
  public void tick(long nowNanos) {
    dispatcher.tick(nowNanos);
    metrics.queued(waitingCount());
  }

  /** Places waiting requests, since something has changed. */
  public void place(long nowNanos) {
    dispatcher.place(nowNanos);
  }

  /** Returns the number of waiting requests. */
  public int waitingCount() {
    return dispatcher.waitingCount();
  }
}
