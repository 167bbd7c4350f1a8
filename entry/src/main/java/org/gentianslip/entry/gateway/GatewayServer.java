package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gentianslip.core.membership.PauseDetector;
import org.gentianslip.core.route.CallerLimits;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.operator.OperatorView;

/**
 * Runs the serving part of an instance: the ports for callers and for forwarded requests.
 *
 * <p>Started once and left once. Safe for use by several threads.
 */
public final class GatewayServer implements AutoCloseable {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The time between two ticks, in milliseconds. */
  private static final long TICK_MILLIS = 250;

  /** A gap between ticks above which this process has stood still. */
  private static final long MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /**
   * The part of the grace in which new requests are served on: callers look elsewhere meanwhile.
   */
  private static final double SERVE_ON_SHARE = 0.35;

  /** The part of the grace after which no connection is accepted any more. */
  private static final double ACCEPT_SHARE = 0.75;

  /** The part of the grace after which the process ends in any case. */
  private static final double END_SHARE = 0.93;

  private static final long POLL_MILLIS = 20;

  private static final double NANOS_PER_SECOND = 1e9;

  private final GatewayState state;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final DecisionLog decisions = new DecisionLog();
  private final Gateway gateway;
  private final Runnable afterPause;
  private final NioEventLoopGroup loops =
      new NioEventLoopGroup(
          Runtime.getRuntime().availableProcessors(), new DefaultThreadFactory("gateway", true));
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("gateway-timer", true));
  private final PauseDetector pauses = new PauseDetector(MAX_GAP_NANOS, System.nanoTime());
  private final CallerServer callers;
  private final CallerServer instances;
  private final AtomicBoolean left = new AtomicBoolean();
  private final CountDownLatch closed = new CountDownLatch(1);

  /**
   * Creates a process that does not listen yet.
   *
   * @param afterPause is run after this process stood still
   */
  public GatewayServer(GatewayState state, EdgeHeaders edge, Runnable afterPause) {
    this.state = state;
    this.gateway = new Gateway(state, edge, metrics, decisions);
    metrics.watch(
        gateway::inFlight,
        gateway::version,
        () -> state.ageNanos(System.nanoTime()) / NANOS_PER_SECOND);
    this.afterPause = afterPause;
    this.callers = new CallerServer(loops, this::limits, state::leaving, gateway::fromCaller);
    this.instances =
        new CallerServer(loops, () -> CallerLimits.DEFAULT, () -> false, gateway::fromInstance);
  }

  private CallerLimits limits() {
    return state.published().routes().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
  }

  /** Returns what operators may see. */
  public OperatorView operatorView() {
    return new GatewayOperatorView(state, metrics, decisions, gateway);
  }

  /** Opens the ports. */
  public void start() throws InterruptedException {
    instances.listen(state.place().host(), state.place().forwardPort());
    callers.listen(state.place().host(), state.place().callerPort());
    timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    try {
      long now = System.nanoTime();
      if (pauses.tick(now)) {
        LOGGER.atWarning().log("gateway: event=pause action=drop-beliefs");
        state.forgetAfterPause(now);
        gateway.closeIdle();
        afterPause.run();
      }
      gateway.sweep();
    } catch (RuntimeException e) {
      LOGGER.atSevere().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log("gateway: event=fault");
    }
  }

  /**
   * Shuts down gracefully and returns when all is closed; a further call does nothing.
   *
   * @param announce tells other instances that this one leaves
   * @return whether this call did it
   */
  public boolean leave(Runnable announce) {
    if (!left.compareAndSet(false, true)) {
      return false;
    }
    final long start = System.nanoTime();
    final long grace = state.place().bounds().graceMillis();
    state.leave();
    LOGGER.atInfo().log("gateway: event=leaving in-flight=%s grace=%s", gateway.inFlight(), grace);
    announce.run();
    sleepUntil(start, (long) (grace * SERVE_ON_SHARE), false);
    state.refuse();
    sleepUntil(start, (long) (grace * ACCEPT_SHARE), false);
    callers.stopAccepting();
    sleepUntil(start, (long) (grace * END_SHARE), true);
    LOGGER.atInfo().log("gateway: event=left in-flight=%s", gateway.inFlight());
    close();
    return true;
  }

  private void sleepUntil(long startNanos, long millis, boolean untilIdle) {
    long end = startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() - end < 0 && !(untilIdle && gateway.inFlight() == 0)) {
      try {
        Thread.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Waits until the process has ended its work. */
  public void awaitClosed() throws InterruptedException {
    closed.await();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    callers.close();
    instances.close();
    loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    closed.countDown();
  }
}
