package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gentianslip.core.fleet.WireVersion;
import org.gentianslip.core.membership.PauseDetector;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.quarantine.QuarantineChange;
import org.gentianslip.core.quarantine.Verdict;
import org.gentianslip.core.route.CallerLimits;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.shutdown.ShutdownPlan;
import org.gentianslip.entry.clock.Clocks;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.operator.OperatorView;

/**
 * Serves the ports for callers and for forwarded requests of an instance.
 *
 * <p>A server is started once and shut down once. Safe for use by several threads.
 */
public final class GatewayServer implements AutoCloseable {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The interval of the periodic checks, in milliseconds. */
  private static final long CHECK_MILLIS = 250;

  /** The gap between two checks from which this process counts as having been paused. */
  private static final long MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final long SHUTDOWN_POLL_MILLIS = 20;

  private static final double NANOS_PER_SECOND = 1e9;

  private static final double HUNDREDTHS_PER_CORE = 100;

  private final GatewayState state;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final DecisionLog decisions = new DecisionLog();
  private final Gateway gateway;
  private final Runnable onPause;
  private final NioEventLoopGroup eventLoops =
      new NioEventLoopGroup(
          Runtime.getRuntime().availableProcessors(), new DefaultThreadFactory("gateway", true));
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("gateway-timer", true));
  private final PauseDetector pauses = new PauseDetector(MAX_GAP_NANOS, System.nanoTime());
  private final EventLoop eventLoop = eventLoops.next();
  private final CallerServer callerServer;
  private final CallerServer forwardServer;
  private final AtomicBoolean shutDownStarted = new AtomicBoolean();
  private final CountDownLatch closed = new CountDownLatch(1);

  /**
   * Creates a server that does not listen yet.
   *
   * @param onPause runs after a pause of this process has been detected
   */
  public GatewayServer(
      GatewayState state,
      EdgeHeaders edgeHeaders,
      EngineReports engineReports,
      ReadBarrier barrier,
      Runnable onPause) {
    this.state = state;
    this.gateway = new Gateway(state, edgeHeaders, engineReports, barrier, metrics, decisions);
    metrics.registerGauges(
        gateway::inFlight,
        gateway::version,
        () -> state.confirmationAgeNanos(System.nanoTime()) / NANOS_PER_SECOND);
    metrics.registerWireVersion(WireVersion.CURRENT::number);
    metrics.registerProcessorGauges(
        () -> state.processor().delayNanos(System.nanoTime()) / NANOS_PER_SECOND,
        () -> state.presentCapacity() / HUNDREDTHS_PER_CORE);
    metrics.registerReach(() -> state.reach().unreachedNanos(System.nanoTime()) / NANOS_PER_SECOND);
    metrics.registerQuotas(state.quotas()::counts);
    metrics.registerRegionConflicts(
        () -> state.published().routes().map(RouteTable::regionConflictCount).orElse(0L));
    metrics.registerConfigurationAge(() -> state.knowledge().ageSeconds(Clocks.read()));
    this.onPause = onPause;
    state.setStartCheck(this::askStart);
    this.callerServer =
        new CallerServer(
            eventLoops,
            this::limits,
            state::leaving,
            gateway.buffers(),
            gateway::handleCallerRequest);
    this.forwardServer =
        new CallerServer(
            eventLoops,
            () -> CallerLimits.DEFAULT,
            state::leaving,
            gateway.buffers(),
            gateway::handleForwardedRequest);
  }

  private void askStart(Backend backend) {
    EventLoop loop = eventLoops.next();
    loop.execute(() -> StartQuery.start(gateway, loop, backend));
  }

  private CallerLimits limits() {
    return state.published().routes().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
  }

  /** Returns the view for operators. */
  public OperatorView operatorView() {
    return new GatewayOperatorView(state, metrics, decisions, gateway);
  }

  /** Opens the ports and starts the periodic checks. */
  public void start() throws InterruptedException {
    forwardServer.listen(state.config().host(), state.config().forwardPort());
    callerServer.listen(state.config().host(), state.config().callerPort());
    timer.scheduleWithFixedDelay(
        this::runChecks, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void runChecks() {
    try {
      long now = System.nanoTime();
      if (pauses.tick(now)) {
        LOGGER.atWarning().log("gateway: event=pause action=drop-beliefs");
        state.resetAfterPause(now);
        gateway.closeIdle();
        onPause.run();
      }
      gateway.reach().update(now, eventLoop);
      state.processor().updateCapacity(now, state.isStranded(now));
      gateway.closeExpired();
      state.quarantine().update(now).forEach(GatewayServer::log);
    } catch (RuntimeException e) {
      LOGGER.atSevere().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log("gateway: event=fault");
    }
  }

  private static void log(QuarantineChange change) {
    Verdict verdict = change.verdict();
    LOGGER.atWarning().log(
        "gateway: event=quarantine part=%s active=%s crashes=%s",
        verdict.part(), change.begun(), verdict.crashes());
  }

  /**
   * Shuts down gracefully and returns when everything is closed. Further calls do nothing.
   *
   * @param startNanos when the shutdown was requested, in nanoseconds of the monotonic clock
   * @param announce announces the shutdown to other instances
   * @return whether this call performed the shutdown
   */
  public boolean shutDown(long startNanos, Runnable announce) {
    if (!shutDownStarted.compareAndSet(false, true)) {
      return false;
    }
    ShutdownPlan plan = state.startShutdown(startNanos);
    LOGGER.atInfo().log(
        "gateway: event=leaving in-flight=%s grace=%s", gateway.inFlight(), plan.graceMillis());
    announce.run();
    sleepUntil(plan.acceptEndNanos(), false);
    state.refuseRequests();
    callerServer.stopAccepting();
    forwardServer.stopAccepting();
    sleepUntil(plan.answerNanos(), true);
    LOGGER.atInfo().log(
        "gateway: event=left in-flight=%s unanswered=%s", gateway.inFlight(), unanswered());
    gateway.endInFlight();
    sleepUntil(plan.closeNanos(), true);
    close();
    return true;
  }

  private int unanswered() {
    return callerServer.unanswered() + forwardServer.unanswered();
  }

  private void sleepUntil(long endNanos, boolean untilAnswered) {
    while (System.nanoTime() - endNanos < 0 && !(untilAnswered && unanswered() == 0)) {
      try {
        Thread.sleep(SHUTDOWN_POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Waits until this server is closed. */
  public void awaitClosed() throws InterruptedException {
    closed.await();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    callerServer.close();
    forwardServer.close();
    eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    closed.countDown();
  }
}
