package org.gentianslip.standin.relay;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.gentianslip.standin.http.EventLoops;
import org.gentianslip.standin.http.HttpEndpoint;

/**
 * A relay of TCP connections that simulates links, which operators can cut and silence.
 *
 * <p>Bytes are delivered in order and unchanged, or not at all. The first bytes of a connection are
 * also delayed by the round trip that opening a connection takes. Safe for use by several threads.
 */
public final class RelayStandin implements AutoCloseable {

  private static final FluentLogger log = FluentLogger.forEnclosingClass();

  private final Map<LinkName, RelayLink> links = new LinkedHashMap<>();
  private final List<Channel> listeners = new ArrayList<>();
  private final HttpEndpoint endpoint;

  private RelayStandin(RelayOptions options) {
    for (var route : options.routes()) {
      var name = LinkName.parse(route.link());
      links.computeIfAbsent(
          name, n -> new RelayLink(n, route.megabitsPerSecond(), options.captureBytes()));
    }
    for (var route : options.routes()) {
      listeners.add(listen(route, links.get(LinkName.parse(route.link()))));
    }
    this.endpoint = HttpEndpoint.start(options.adminPort(), new RelayHandler(this));
  }

  /**
   * Starts a relay.
   *
   * @throws IllegalStateException if a port cannot be opened
   */
  public static RelayStandin start(RelayOptions options) {
    return new RelayStandin(Objects.requireNonNull(options, "options"));
  }

  /** Returns the port for operators. */
  public int port() {
    return endpoint.port();
  }

  /** Returns the port that the route with the given index listens on. */
  public int routePort(int index) {
    return ((InetSocketAddress) listeners.get(index).localAddress()).getPort();
  }

  /**
   * Applies an action to a link.
   *
   * @throws IllegalArgumentException if there is no such link
   */
  public void apply(LinkAction action, String link) {
    requireLink(link).apply(action);
    log.atInfo().log("relay: applied %s to link %s.", action, link);
  }

  /** Applies an action to all links. */
  public void applyToAll(LinkAction action) {
    links.values().forEach(link -> link.apply(action));
    log.atInfo().log("relay: applied %s to all links.", action);
  }

  /** Returns the states and counters of all links. */
  public List<LinkReport> linkReports() {
    return links.values().stream().map(RelayLink::report).toList();
  }

  /**
   * Returns the bytes that a link delivered, of both directions in the order of delivery.
   *
   * @throws IllegalArgumentException if there is no such link
   * @throws IllegalStateException if more bytes were delivered than captured
   */
  public byte[] capturedBytes(String link) {
    var capture = requireLink(link).capture;
    if (!capture.isComplete()) {
      throw new IllegalStateException("more bytes were delivered than captured: " + link);
    }
    return capture.bytes();
  }

  @Override
  public void close() {
    endpoint.close();
    listeners.forEach(listener -> listener.close().awaitUninterruptibly());
    applyToAll(LinkAction.CUT);
  }

  RelayLink requireLink(String link) {
    var found = links.get(LinkName.parse(link));
    if (found == null) {
      throw new IllegalArgumentException("unknown link: \"" + link + "\"");
    }
    return found;
  }

  private static Channel listen(RelayRoute route, RelayLink link) {
    var bound =
        new ServerBootstrap()
            .group(EventLoops.shared())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    accept(route, link, ch);
                  }
                })
            .bind(HttpEndpoint.HOST, route.listen())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on port " + route.listen(), bound.cause());
    }
    return bound.channel();
  }

  private static void accept(RelayRoute route, RelayLink link, SocketChannel client) {
    var connection = new RelayConnection(link, route, client, System.nanoTime());
    if (!link.add(connection)) {
      client.config().setSoLinger(0);
      client.close();
      return;
    }
    client.pipeline().addLast(connection.toTarget().readHandler());
    connection.open(route);
  }
}
