package org.gentianslip.standin.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A connection from a client, with the relayed connection to the target.
 *
 * <p>Both channels run on one event loop, to which all state is confined; {@link #reset}, {@link
 * #startDiscarding} and {@link #resume} may be called by any thread. A discarding connection relays
 * neither bytes nor the close of either side.
 */
final class RelayConnection {

  private static final int ONE_WAY_LATENCIES_TO_CONNECT = 2;

  private final RelayLink link;
  private final RelayDirection toTarget;
  private final RelayDirection toClient;
  private final Channel client;
  private Channel target;
  private boolean discarding;

  RelayConnection(RelayLink link, RelayRoute route, Channel client, long nowNanos) {
    this.link = link;
    this.client = client;
    boolean forward = link.name.isForward(route.link());
    long latencyNanos = (long) (route.oneWayMillis() * 1e6);
    long connectedNanos = nowNanos + ONE_WAY_LATENCIES_TO_CONNECT * latencyNanos;
    this.toTarget = new RelayDirection(this, link, forward, latencyNanos, connectedNanos);
    this.toClient = new RelayDirection(this, link, !forward, latencyNanos, connectedNanos);
  }

  /** Connects to the target and then starts reading from the client. */
  void open(RelayRoute route) {
    new Bootstrap()
        .group(client.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(toClient.readHandler())
        .connect(route.toHost(), route.toPort())
        .addListener((ChannelFuture done) -> finishOpening(done));
  }

  RelayDirection toTarget() {
    return toTarget;
  }

  boolean isDiscarding() {
    return discarding;
  }

  /** Closes both channels with a TCP reset. */
  void reset() {
    client.eventLoop().execute(this::resetNow);
  }

  /** Discards all held and all further bytes. */
  void startDiscarding() {
    client
        .eventLoop()
        .execute(
            () -> {
              discarding = true;
              toTarget.discardHeldBytes();
              toClient.discardHeldBytes();
            });
  }

  /** Delivers the held bytes. */
  void resume() {
    client
        .eventLoop()
        .execute(
            () -> {
              toTarget.deliver();
              toClient.deliver();
            });
  }

  /** Removes the connection from its link if both channels are closed. */
  void removeIfClosed() {
    if (!client.isOpen() && (target == null || !target.isOpen())) {
      link.remove(this);
    }
  }

  private void finishOpening(ChannelFuture done) {
    if (!done.isSuccess()) {
      resetNow();
      return;
    }
    target = done.channel();
    toTarget.setChannels(client, target);
    toClient.setChannels(target, client);
    if (!client.isOpen() || link.state() == RelayLink.State.CUT) {
      resetNow();
      return;
    }
    client.config().setAutoRead(true);
  }

  private void resetNow() {
    closeWithReset(client);
    if (target != null) {
      closeWithReset(target);
    }
    toTarget.discardHeldBytes();
    toClient.discardHeldBytes();
    link.remove(this);
  }

  private static void closeWithReset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }
}
