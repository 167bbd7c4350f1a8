package org.gentianslip.entry.process;

import com.google.common.flogger.FluentLogger;
import io.jooby.Jooby;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import okhttp3.OkHttpClient;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.membership.PauseDetector;
import org.gentianslip.core.order.OrderTimes;
import org.gentianslip.core.queue.Dispatcher;
import org.gentianslip.core.ticket.TicketIssuer;
import org.gentianslip.core.ticket.TicketLedger;
import org.gentianslip.entry.caller.AdmissionCheck;
import org.gentianslip.entry.caller.EntriesRoute;
import org.gentianslip.entry.caller.EntryDirectory;
import org.gentianslip.entry.caller.RequestIdGenerator;
import org.gentianslip.entry.configservice.ConfigReadResult;
import org.gentianslip.entry.configservice.ConfigServiceReader;
import org.gentianslip.entry.configservice.InstanceListUpdater;
import org.gentianslip.entry.configservice.KeyWatcher;
import org.gentianslip.entry.configservice.LoadPoller;
import org.gentianslip.entry.configservice.SettingsUpdater;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.BoundedHttpClients;
import org.gentianslip.entry.http.HeadCheck;
import org.gentianslip.entry.http.HttpServer;
import org.gentianslip.entry.logging.LogSettingsFilter;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.model.ModelRequestHandler;
import org.gentianslip.entry.operator.EntryOperatorView;
import org.gentianslip.entry.operator.OperatorAccess;
import org.gentianslip.entry.operator.OperatorRoutes;
import org.gentianslip.entry.operator.StatusPage;
import org.gentianslip.entry.order.EngineOrderSender;
import org.gentianslip.entry.peer.HelloExchange;
import org.gentianslip.entry.peer.PeerRoutes;
import org.gentianslip.entry.peer.PeerSettingsClient;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.service.ServiceCallHandler;
import org.gentianslip.entry.service.ServiceCallReporter;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.entry.state.Membership;
import org.gentianslip.settings.Settings;

/**
 * Runs one instance.
 *
 * <p>It is started once and drained or closed once. Safe for use by several threads.
 */
public final class EntryProcess implements AutoCloseable {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int TICKET_KEY_BYTES = 32;
  private static final int LEDGER_CAPACITY = 100_000;
  private static final long LEDGER_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(2);
  private static final long MAX_TICK_GAP_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long TICK_INTERVAL_MILLIS = Dispatcher.POLL_MILLIS;
  private static final long LOAD_POLL_INTERVAL_MILLIS = 250;
  private static final long HELLO_INTERVAL_MILLIS = Membership.HELLO_INTERVAL_NANOS / 1_000_000;
  private static final long MAINTENANCE_INTERVAL_MILLIS = 1_000;
  private static final long SHARE_REFRESH_INTERVAL_MILLIS = 250;
  private static final long ORDER_INTERVAL_MILLIS = 500;

  private final EntryConfig config;
  private final FleetState state;
  private final EntryMetrics metrics = new EntryMetrics();
  private final DecisionLog decisionLog = new DecisionLog();
  private final InFlightCounter inFlight = new InFlightCounter(metrics);
  private final LogSettingsFilter logFilter =
      LogSettingsFilter.install(
          Logger.getLogger(""), Logger.getLogger("org.gentianslip"), System::nanoTime);
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(2, r -> daemon(r, "timer"));
  private final ExecutorService settingsExecutor =
      Executors.newSingleThreadExecutor(r -> daemon(r, "settings"));
  private final ScheduledExecutorService orderScheduler =
      Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "orders"));
  private final PauseDetector pauseDetector =
      new PauseDetector(MAX_TICK_GAP_NANOS, System.nanoTime());
  private final UpstreamClient upstreamClient = new UpstreamClient();
  private final OkHttpClient controlClient = BoundedHttpClients.newBuilder().build();
  private final ConfigServiceReader configReader;
  private final SettingsUpdater settingsUpdater;
  private final TicketLedger ledger;
  private final HelloExchange hellos;
  private final ModelRequestHandler models;
  private final ServiceCallHandler services;
  private final EntryDirectory directory;
  private final EngineOrderSender orders;
  private final Drain drain;
  private final List<AutoCloseable> components = new ArrayList<>();

  private EntryProcess(EntryConfig config) {
    var random = new SecureRandom();
    this.config = config;
    this.state = new FleetState(config, Incarnation.of(random.nextLong()));
    this.directory = new EntryDirectory(state);
    this.configReader = new ConfigServiceReader(controlClient, config.configService());
    this.settingsUpdater = new SettingsUpdater(state, this::readPart, metrics, settingsExecutor);
    byte[] ticketKey = new byte[TICKET_KEY_BYTES];
    random.nextBytes(ticketKey);
    var ticketIssuer = new TicketIssuer(config.instance(), state.incarnation(), ticketKey);
    this.ledger =
        new TicketLedger(ticketIssuer, LEDGER_CAPACITY, LEDGER_RETENTION_NANOS, System.nanoTime());
    this.hellos = new HelloExchange(state, settingsUpdater, controlClient, metrics);
    settingsUpdater.setPeers(
        new PeerSettingsClient(state, controlClient, metrics), hellos::announceToRegion);
    this.models =
        new ModelRequestHandler(state, directory, upstreamClient, metrics, decisionLog, inFlight);
    var reporter = new ServiceCallReporter(config.region().value(), metrics, decisionLog, inFlight);
    this.services =
        new ServiceCallHandler(state, directory, upstreamClient, ticketIssuer, ledger, reporter);
    this.orders = new EngineOrderSender(state, controlClient, OrderTimes.DEFAULT);
    this.drain = new Drain(state, inFlight, hellos);
  }

  /** Starts an instance and returns when its ports are open; it may not be ready to serve yet. */
  public static EntryProcess start(EntryConfig config) {
    var process = new EntryProcess(config);
    process.watchKeys();
    process.schedule();
    process.listen();
    LOGGER.atInfo().log(
        "entry: Instance %s, incarnation %s, listens on %s:%s.",
        config.instance(), process.state.incarnation(), config.host(), config.callerPort());
    return process;
  }

  private Optional<byte[]> readPart(String key) {
    ConfigReadResult result = configReader.read(key);
    return result instanceof ConfigReadResult.Found found
        ? Optional.of(found.value())
        : Optional.empty();
  }

  private void watchKeys() {
    watchKeys(
        "settings/manifest",
        (revision, value) -> settingsUpdater.onServiceManifest(System.nanoTime(), value));
    watchKeys(
        "instances/" + config.region(), new InstanceListUpdater(state, orders::onListConfirmed));
  }

  private void watchKeys(String key, KeyWatcher.ValueListener listener) {
    var watcher = new KeyWatcher(configReader, key, listener);
    components.add(watcher);
    watcher.start();
  }

  private void schedule() {
    var poller =
        new LoadPoller(
            state.engines(),
            controlClient,
            metrics,
            hellos::announceToRegion,
            () -> models.placeWaiting(System.nanoTime()));
    scheduleEvery(TICK_INTERVAL_MILLIS, () -> tick(System.nanoTime()));
    scheduleEvery(LOAD_POLL_INTERVAL_MILLIS, poller::pollAll);
    scheduleEvery(HELLO_INTERVAL_MILLIS, () -> hellos.sendDue(System.nanoTime()));
    scheduleEvery(MAINTENANCE_INTERVAL_MILLIS, () -> ledger.sweep(System.nanoTime()));
    scheduleEvery(SHARE_REFRESH_INTERVAL_MILLIS, () -> state.refreshShares(System.nanoTime()));
    scheduleEvery(MAINTENANCE_INTERVAL_MILLIS, this::applyLogSettings);
    orderScheduler.scheduleWithFixedDelay(
        () -> runSafely(orders::sendDue),
        ORDER_INTERVAL_MILLIS,
        ORDER_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void applyLogSettings() {
    Settings settings = state.settings();
    if (settings != null) {
      logFilter.apply(settings.effectiveForInstance(config.region()));
    }
  }

  private void tick(long nowNanos) {
    if (pauseDetector.tick(nowNanos)) {
      LOGGER.atWarning().log(
          "entry: The process was paused; its view of peers and engines is outdated.");
      state.expireAfterPause(nowNanos);
      upstreamClient.evictConnections();
      hellos.evictConnections();
    }
    if (!state.isInitialized()
        && settingsUpdater.isLatestKnownInForce(hellos.repliedCount(), hellos.pendingCount())) {
      state.markSettingsLatest();
    }
    models.tick(nowNanos);
  }

  private void scheduleEvery(long millis, Runnable task) {
    scheduler.scheduleWithFixedDelay(() -> runSafely(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  private static void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOGGER.atSevere().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log(
          "entry: A periodic task failed.");
    }
  }

  private void listen() {
    var ids = new RequestIdGenerator(config.instance(), state.incarnation());
    var admission = new AdmissionCheck(state, directory);
    var routes = new RequestRoutes(state, ids, models, services, metrics);
    var peerKey = new SharedKey(config.peerKey());
    var operatorKey = new SharedKey(config.operatorKey());
    serve(
        config.peerPort(),
        HeadCheck.NONE,
        app -> {
          new PeerRoutes(hellos, settingsUpdater, peerKey::matches).addTo(app);
          routes.addTo(app, "/peer/v1/forward", new PeerOrigin(admission, peerKey));
        });
    var status =
        new StatusPage(state, settingsUpdater, inFlight, models::waitingCount, orders::lastReasons);
    serve(
        config.operatorPort(),
        HeadCheck.NONE,
        app ->
            new OperatorRoutes(
                    new EntryOperatorView(state, metrics, decisionLog, status),
                    OperatorAccess.byKey(operatorKey::matches),
                    this::startDrain)
                .addTo(app));
    serve(
        config.callerPort(),
        new CallerHeadCheck(admission, metrics),
        app -> {
          new EntriesRoute(state, directory).addTo(app);
          routes.addTo(app, "", new CallerOrigin(admission));
        });
  }

  private void serve(int port, HeadCheck headCheck, Consumer<Jooby> routes) {
    components.add(HttpServer.start(config.host(), port, MAX_BODY_BYTES, headCheck, routes));
  }

  private void startDrain() {
    daemon(this::drainAndClose, "drain").start();
  }

  /** Shuts down gracefully: refuses new work, waits for work in flight, then closes. */
  public void drainAndClose() {
    if (drain.run()) {
      close();
    }
  }

  /** Waits until the instance is closed. */
  public void awaitClosed() throws InterruptedException {
    drain.awaitClosed();
  }

  /** Returns whether the instance is ready to serve. */
  public boolean ready() {
    return state.ready();
  }

  /** Closes the ports at once, without waiting for requests in flight. */
  @Override
  public void close() {
    scheduler.shutdownNow();
    orderScheduler.shutdownNow();
    settingsExecutor.shutdownNow();
    try {
      for (int i = components.size() - 1; i >= 0; i--) {
        closeSafely(components.get(i));
      }
    } finally {
      drain.markClosed();
    }
  }

  private static void closeSafely(AutoCloseable component) {
    try {
      component.close();
    } catch (Exception e) {
      LOGGER.atWarning().withCause(e).log("entry: A component could not be closed.");
    }
  }

  private static Thread daemon(Runnable task, String name) {
    var thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }
}
