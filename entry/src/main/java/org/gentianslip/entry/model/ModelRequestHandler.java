package org.gentianslip.entry.model;

import java.time.Duration;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.routing.RoutingRequest;
import org.gentianslip.entry.caller.EntryDirectory;
import org.gentianslip.entry.caller.RequestIdGenerator;
import org.gentianslip.entry.caller.RequestSettings;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.ResponseSink;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.process.InFlightCounter;
import org.gentianslip.entry.relay.ConfiguredRetryRule;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.SettingCatalog;

/**
 * Handles model requests of callers and of peers.
 *
 * <p>A request that a peer forwarded is not forwarded again. Safe for use by several threads.
 */
public final class ModelRequestHandler {

  private static final int MAX_ATTEMPTS = 3;
  private static final long MIN_REMAINING_NANOS = 10_000_000L;
  private static final long HASH_SEED = 0x67656e7469616eL;

  private final FleetState state;
  private final EntryDirectory directory;
  private final PrefixDigest digest;
  private final EntryMetrics metrics;
  private final RequestIdGenerator routingIds;
  private final ConfiguredRetryRule retryRule;
  private final Forwarder peerForwarder;
  private final Forwarder noForwarder = new NoForwarder();
  private final ModelDispatcher dispatcher;

  /** Creates a handler with queues of its own. */
  public ModelRequestHandler(
      FleetState state,
      EntryDirectory directory,
      UpstreamClient client,
      EntryMetrics metrics,
      DecisionLog decisions,
      InFlightCounter inFlight) {
    this.state = state;
    this.directory = directory;
    this.metrics = metrics;
    this.digest = new PrefixDigest(state.config().peerKey());
    this.routingIds = new RequestIdGenerator(state.config().instance(), state.incarnation());
    this.peerForwarder = new PeerForwarder(state, client);
    var reporter = new ModelRequestReporter(state, metrics, decisions, inFlight);
    this.retryRule = new ConfiguredRetryRule(state, MAX_ATTEMPTS, MIN_REMAINING_NANOS);
    var waiting = ModelDispatcher.newWaitingMap();
    this.dispatcher =
        new ModelDispatcher(
            state,
            new ModelQueues(state, new ConfiguredRoutingPolicy(state, waiting, HASH_SEED)),
            waiting,
            retryRule,
            reporter,
            attemptsFactory(state, client, reporter));
  }

  private static ModelDispatcher.AttemptsFactory attemptsFactory(
      FleetState state, UpstreamClient client, ModelRequestReporter reporter) {
    return new ModelDispatcher.AttemptsFactory() {
      @Override
      public EngineAttempts engines(AttemptListener listener) {
        return new EngineAttempts(state, client, reporter, listener);
      }

      @Override
      public RegionAttempts regions(AttemptListener listener) {
        return new RegionAttempts(state, reporter, listener);
      }
    };
  }

  /** Handles a request of a caller. */
  public void handleCallerRequest(
      long nowNanos,
      RequestId id,
      RequestSettings settings,
      String path,
      byte[] body,
      ResponseSink sink) {
    handle(nowNanos, id, settings, path, body, sink, settings.deadline(), false);
  }

  /** Handles a request that a peer forwarded; it stays in this region. */
  public void handleForwardedRequest(
      long nowNanos,
      RequestId id,
      RequestSettings settings,
      String path,
      byte[] body,
      ResponseSink sink,
      Duration remaining) {
    handle(nowNanos, id, settings, path, body, sink, remaining, true);
  }

  private void handle(
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
    ModelRequestBody.Result result = ModelRequestBody.parse(body);
    if (result instanceof ModelRequestBody.Result.Invalid invalid) {
      refuse(settings, sink, invalid.reply());
      return;
    }
    ModelRequestBody parsed = ((ModelRequestBody.Result.Valid) result).body();
    if (!isDeclaredModel(parsed.model())) {
      var reply =
          ErrorReply.notRun(ErrorCode.UNKNOWN_MODEL, "The model is not declared in the settings.");
      refuse(settings, sink, reply);
      return;
    }
    var routingRequest = routingRequest(nowNanos, settings, parsed, remaining, forwarded);
    retryRule.recordRequest();
    dispatcher.submit(
        nowNanos,
        new ModelExchange(
            id,
            routingRequest,
            settings,
            forwarded ? noForwarder : peerForwarder,
            path,
            body,
            parsed.stream(),
            sink,
            nowNanos + remaining.toNanos()));
  }

  private void refuse(RequestSettings settings, ResponseSink sink, ErrorReply reply) {
    metrics.recordRefusal(settings.rank(), reply.code().text());
    sink.fail(reply);
  }

  private boolean isDeclaredModel(String model) {
    try {
      return state.settings().models().contains(ModelId.of(model));
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private RoutingRequest routingRequest(
      long nowNanos,
      RequestSettings settings,
      ModelRequestBody body,
      Duration remaining,
      boolean forwarded) {
    int prefixTokens = settings.effective().get(SettingCatalog.PREFIX_TOKENS);
    Duration firstToken = settings.firstTokenLimit();
    Duration maxWait = firstToken.compareTo(remaining) < 0 ? firstToken : remaining;
    return new RoutingRequest(
        routingIds.callerIdOrNew(null),
        settings.customer(),
        settings.kind(),
        settings.rank(),
        ModelId.of(body.model()),
        digest.compute(settings.customer().value(), body.prompt(), prefixTokens),
        body.prompt().length() / PrefixDigest.CHARS_PER_TOKEN,
        body.maxTokens(),
        nowNanos,
        nowNanos + maxWait.toNanos(),
        settings.allowedRegions(),
        forwarded);
  }

  /** Decides again about the waiting requests; must be called periodically. */
  public void tick(long nowNanos) {
    dispatcher.tick(nowNanos);
    metrics.queued(waitingCount());
  }

  /** Places waiting requests after the load of an engine has changed. */
  public void placeWaiting(long nowNanos) {
    dispatcher.placeWaiting(nowNanos);
  }

  /** Returns the number of waiting requests. */
  public int waitingCount() {
    return dispatcher.waitingCount();
  }
}
