package org.gentianslip.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Serves HTTP/1.1 on one port of the loopback address.
 *
 * <p>It listens from {@link #start} to {@link #close}, which also closes the open connections. Safe
 * for use by several threads.
 */
public final class HttpEndpoint implements AutoCloseable {

  /** The loopback address, which every stand-in listens on. */
  public static final String HOST = "127.0.0.1";

  private static final int MAX_BODY_BYTES = 32 << 20;
  private static final int BACKLOG = 4096;

  private final Channel listener;
  private final ChannelGroup connections;

  private HttpEndpoint(Channel listener, ChannelGroup connections) {
    this.listener = listener;
    this.connections = connections;
  }

  /**
   * Starts listening.
   *
   * @param port the port, or 0 for a free one
   * @param handler the handler of all requests
   * @throws IllegalArgumentException if {@code port} is not from 0 to 65535
   * @throws IllegalStateException if the port cannot be opened
   */
  public static HttpEndpoint start(int port, HttpHandler handler) {
    if (port < 0 || port > 65535) {
      throw new IllegalArgumentException("port must be from 0 to 65535: " + port);
    }
    Objects.requireNonNull(handler, "handler");
    var connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    var bound =
        new ServerBootstrap()
            .group(EventLoops.shared())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    connections.add(ch);
                    ch.pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new HttpRequestDispatcher(handler));
                  }
                })
            .bind(HOST, port)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + HOST + ":" + port, bound.cause());
    }
    return new HttpEndpoint(bound.channel(), connections);
  }

  /** Returns the port that the endpoint listens on. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }
}
