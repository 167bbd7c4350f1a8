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
import org.gentianslip.entry.caller.EntriesPort;
import org.gentianslip.entry.caller.EntryDirectory;
import org.gentianslip.entry.caller.RequestIds;
import org.gentianslip.entry.configservice.ConfigReadResult;
import org.gentianslip.entry.configservice.ConfigServiceReader;
import org.gentianslip.entry.configservice.InstanceListUpdater;
import org.gentianslip.entry.configservice.KeyWatcher;
import org.gentianslip.entry.configservice.LoadPoller;
import org.gentianslip.entry.configservice.SettingsUpdater;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.HeadCheck;
import org.gentianslip.entry.http.HttpServer;
import org.gentianslip.entry.logging.LogControl;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.model.ModelRequests;
import org.gentianslip.entry.operator.FleetOperatorView;
import org.gentianslip.entry.operator.OperatorAccess;
import org.gentianslip.entry.operator.OperatorRoutes;
import org.gentianslip.entry.operator.StatusPage;
import org.gentianslip.entry.order.EngineOrders;
import org.gentianslip.entry.peer.HelloExchange;
import org.gentianslip.entry.peer.PeerPort;
import org.gentianslip.entry.peer.SettingsPull;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.service.ServiceReport;
import org.gentianslip.entry.service.ServiceRequests;
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
  private static final int KEY_BYTES = 32;
  private static final int LEDGER_CAPACITY = 100_000;
  private static final long LEDGER_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(2);
  private static final long MAX_GAP_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long TICK_MILLIS = Dispatcher.POLL_MILLIS;
  private static final long LOAD_MILLIS = 250;
  private static final long HELLO_MILLIS = Membership.TICK_NANOS / 1_000_000;
  private static final long SWEEP_MILLIS = 1_000;
  private static final long SHARE_MILLIS = 250;
  private static final long ORDER_MILLIS = 500;

  private final EntryPlace place;
  private final FleetState state;
  private final EntryMetrics metrics = new EntryMetrics();
  private final DecisionLog decisions = new DecisionLog();
  private final InFlight inFlight = new InFlight(metrics);
  private final LogControl logs =
      LogControl.install(
          Logger.getLogger(""), Logger.getLogger("org.gentianslip"), System::nanoTime);
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(2, r -> daemon(r, "timer"));
  private final ExecutorService reads =
      Executors.newSingleThreadExecutor(r -> daemon(r, "settings"));
  private final ScheduledExecutorService orderTimer =
      Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "orders"));
  private final PauseDetector pauses = new PauseDetector(MAX_GAP_NANOS, System.nanoTime());
  private final UpstreamClient upstream = new UpstreamClient();
  private final OkHttpClient control = new OkHttpClient();
  private final ConfigServiceReader reader;
  private final SettingsUpdater intake;
  private final TicketLedger ledger;
  private final HelloExchange hellos;
  private final ModelRequests models;
  private final ServiceRequests services;
  private final EntryDirectory directory;
  private final EngineOrders orders;
  private final Drain drain;
  private final List<AutoCloseable> started = new ArrayList<>();

  private EntryProcess(EntryPlace place) {
    var random = new SecureRandom();
    this.place = place;
    this.state = new FleetState(place, Incarnation.of(random.nextLong()));
    this.directory = new EntryDirectory(state);
    this.reader = new ConfigServiceReader(control, place.configService());
    this.intake = new SettingsUpdater(state, this::readPart, metrics, reads);
    byte[] key = new byte[KEY_BYTES];
    random.nextBytes(key);
    var mint = new TicketIssuer(place.instance(), state.incarnation(), key);
    this.ledger =
        new TicketLedger(mint, LEDGER_CAPACITY, LEDGER_RETENTION_NANOS, System.nanoTime());
    this.hellos = new HelloExchange(state, intake, control, metrics);
    intake.setPeers(new SettingsPull(state, control, metrics), hellos::announce);
    this.models = new ModelRequests(state, directory, upstream, metrics, decisions, inFlight);
    var report = new ServiceReport(place.region().value(), metrics, decisions, inFlight);
    this.services = new ServiceRequests(state, directory, upstream, mint, ledger, report);
    this.orders = new EngineOrders(state, control, OrderTimes.DEFAULT);
    this.drain = new Drain(state, inFlight, hellos);
  }

  /** Starts an instance and returns when its ports are open; it may not be ready yet. */
  public static EntryProcess start(EntryPlace place) {
    var process = new EntryProcess(place);
    process.watch();
    process.schedule();
    process.listen();
    LOGGER.atInfo().log(
        "entry: %s %s listens on %s:%s.",
        place.instance(), process.state.incarnation(), place.host(), place.callerPort());
    return process;
  }

  private Optional<byte[]> readPart(String key) {
    ConfigReadResult result = reader.read(key);
    return result instanceof ConfigReadResult.Found found
        ? Optional.of(found.value())
        : Optional.empty();
  }

  private void watch() {
    watch(
        "settings/manifest",
        (revision, value) -> intake.onServiceManifest(System.nanoTime(), value));
    watch("instances/" + place.region(), new InstanceListUpdater(state, orders::confirmed));
  }

  private void watch(String key, KeyWatcher.ValueListener listener) {
    var watcher = new KeyWatcher(reader, key, listener);
    started.add(watcher);
    watcher.start();
  }

  private void schedule() {
    var poller =
        new LoadPoller(
            state.engines(),
            control,
            metrics,
            hellos::announce,
            () -> models.place(System.nanoTime()));
    every(TICK_MILLIS, () -> tick(System.nanoTime()));
    every(LOAD_MILLIS, poller::pollAll);
    every(HELLO_MILLIS, () -> hellos.round(System.nanoTime()));
    every(SWEEP_MILLIS, () -> ledger.sweep(System.nanoTime()));
    every(SHARE_MILLIS, () -> state.refreshShares(System.nanoTime()));
    every(SWEEP_MILLIS, this::applyLogSettings);
    orderTimer.scheduleWithFixedDelay(
        () -> runSafely(orders::round), ORDER_MILLIS, ORDER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void applyLogSettings() {
    Settings settings = state.settings();
    if (settings != null) {
      logs.apply(settings.effectiveForInstance(place.region()));
    }
  }

  private void tick(long nowNanos) {
    if (pauses.tick(nowNanos)) {
      LOGGER.atWarning().log("entry: The process stood still; all beliefs are dropped.");
      state.forgetAfterPause(nowNanos);
      upstream.evictConnections();
      hellos.evictConnections();
    }
    if (!state.informed() && intake.isLatestKnownInForce(hellos.answered(), hellos.pending())) {
      state.settle();
    }
    models.tick(nowNanos);
  }

  private void every(long millis, Runnable task) {
    timer.scheduleWithFixedDelay(() -> runSafely(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  private static void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOGGER.atSevere().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log("entry: A task failed.");
    }
  }

  private void listen() {
    var ids = new RequestIds(place.instance(), state.incarnation());
    var check = new AdmissionCheck(state, directory);
    var ports = new RequestPorts(state, ids, models, services, metrics);
    var peerKey = new SharedKey(place.peerKey());
    var operatorKey = new SharedKey(place.operatorKey());
    serve(
        place.peerPort(),
        HeadCheck.NONE,
        app -> {
          new PeerPort(hellos, intake, peerKey::matches).addTo(app);
          ports.addTo(app, "/peer/v1/forward", new PeerDoor(check, peerKey));
        });
    var status = new StatusPage(state, intake, inFlight, models::waitingCount, orders::lastReasons);
    serve(
        place.operatorPort(),
        HeadCheck.NONE,
        app ->
            new OperatorRoutes(
                    new FleetOperatorView(state, metrics, decisions, status),
                    OperatorAccess.byKey(operatorKey::matches),
                    this::startDrain)
                .addTo(app));
    serve(
        place.callerPort(),
        new CallerHeadCheck(check, metrics),
        app -> {
          new EntriesPort(state, directory).addTo(app);
          ports.addTo(app, "", new CallerDoor(check));
        });
  }

  private void serve(int port, HeadCheck check, Consumer<Jooby> routes) {
    started.add(HttpServer.start(place.host(), port, MAX_BODY_BYTES, check, routes));
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

  /** Returns whether the instance has all that it needs to serve. */
  public boolean ready() {
    return state.ready();
  }

  /** Closes the ports at once. */
  @Override
  public void close() {
    timer.shutdownNow();
    orderTimer.shutdownNow();
    reads.shutdownNow();
    try {
      for (int i = started.size() - 1; i >= 0; i--) {
        closeSafely(started.get(i));
      }
    } finally {
      drain.closed();
    }
  }

  private static void closeSafely(AutoCloseable part) {
    try {
      part.close();
    } catch (Exception e) {
      LOGGER.atWarning().withCause(e).log("entry: A part did not close.");
    }
  }

  private static Thread daemon(Runnable task, String name) {
    var thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }
}
