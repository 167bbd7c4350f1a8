package org.gentianslip.standin.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A connection of a caller and the one that it is passed on to.
 *
 * <p>Both channels run on one event loop, to which all state is confined; the public methods may be
 * called by any thread. A lost connection passes neither bytes nor the end of either side.
 */
final class RelayConnection {

  private static final int ROUND_TRIPS_TO_OPEN = 2;

  private final Link link;
  private final Pipe toTarget;
  private final Pipe toCaller;
  private final Channel caller;
  private Channel target;
  private boolean lost;

  RelayConnection(Link link, RelayRoute route, Channel caller, long nowNanos) {
    this.link = link;
    this.caller = caller;
    boolean forward = link.name.isForward(route.link());
    long latency = (long) (route.oneWayMillis() * 1e6);
    long openNanos = nowNanos + ROUND_TRIPS_TO_OPEN * latency;
    this.toTarget = new Pipe(this, link, forward, latency, openNanos);
    this.toCaller = new Pipe(this, link, !forward, latency, openNanos);
  }

  /** Connects to the target and then reads from the caller. */
  void open(RelayRoute route) {
    new Bootstrap()
        .group(caller.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(toCaller.reader())
        .connect(route.toHost(), route.toPort())
        .addListener((ChannelFuture done) -> connected(done));
  }

  Pipe toTarget() {
    return toTarget;
  }

  boolean isLost() {
    return lost;
  }

  /** Closes both sides with a reset. */
  void reset() {
    caller.eventLoop().execute(this::resetNow);
  }

  /** Drops all bytes from now on. */
  void lose() {
    caller
        .eventLoop()
        .execute(
            () -> {
              lost = true;
              toTarget.drop();
              toCaller.drop();
            });
  }

  /** Delivers what was held. */
  void resume() {
    caller
        .eventLoop()
        .execute(
            () -> {
              toTarget.deliver();
              toCaller.deliver();
            });
  }

  /** Forgets the connection once both sides are closed. */
  void sideClosed() {
    if (!caller.isOpen() && (target == null || !target.isOpen())) {
      link.remove(this);
    }
  }

  private void connected(ChannelFuture done) {
    if (!done.isSuccess()) {
      resetNow();
      return;
    }
    target = done.channel();
    toTarget.connect(caller, target);
    toCaller.connect(target, caller);
    if (!caller.isOpen() || link.state() == Link.State.CUT) {
      resetNow();
      return;
    }
    caller.config().setAutoRead(true);
  }

  private void resetNow() {
    closeWithReset(caller);
    if (target != null) {
      closeWithReset(target);
    }
    toTarget.drop();
    toCaller.drop();
    link.remove(this);
  }

  private static void closeWithReset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }
}
