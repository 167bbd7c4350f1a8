package org.gentianslip.entry.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests to backend servers and other instances, each exactly once.
 *
 * <p>A request is written on a connection that stands, so that a connection that cannot be made
 * proves that nothing was written. Idle connections are watched and leave the pool when the other
 * side closes them. Used on one event loop only.
 */
final class BackendClient {

  /** How long a connection stays idle if the other side tells no bound. */
  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** How old an idle connection may be for a request that must not be lost. */
  private static final long YOUNG_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final int MAX_IDLE_OF_ADDRESS = 32;
  private static final int MAX_HEADER_BYTES = 65_536;

  private final EventLoop loop;
  private final Map<String, Deque<BackendConnection>> idle = new HashMap<>();

  BackendClient(EventLoop loop) {
    this.loop = loop;
  }

  /** Starts an exchange. */
  Exchange send(OutgoingRequest request, ResponseListener listener) {
    var exchange = new Exchange(request, listener);
    BackendConnection kept = request.fresh() ? null : takeIdle(request.address());
    if (kept != null) {
      write(kept, exchange);
    } else {
      connect(exchange);
    }
    return exchange;
  }

  private BackendConnection takeIdle(String address) {
    Deque<BackendConnection> queue = idle.get(address);
    long now = System.nanoTime();
    while (queue != null && !queue.isEmpty()) {
      BackendConnection connection = queue.removeLast();
      if (connection.isUsable(now, YOUNG_NANOS)) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  private void connect(Exchange exchange) {
    OutgoingRequest request = exchange.request();
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, request.connectMillis())
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    var config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(config, false, false),
                            new BackendConnection(BackendClient.this, request.address()));
                  }
                })
            .connect(addressOf(request.address()));
    connected.addListener(f -> connected(exchange, connected));
  }

  private void connected(Exchange exchange, ChannelFuture connected) {
    if (!connected.isSuccess()) {
      exchange.fail("no connection: " + connected.cause());
      return;
    }
    Channel channel = connected.channel();
    BackendConnection connection = channel.pipeline().get(BackendConnection.class);
    if (connection == null || !channel.isActive()) {
      exchange.fail("the connection was closed at once");
      return;
    }
    if (exchange.hasEnded()) {
      keep(connection);
      return;
    }
    write(connection, exchange);
  }

  private static void write(BackendConnection connection, Exchange exchange) {
    OutgoingRequest request = exchange.request();
    exchange.writtenOn(connection.channel());
    connection.use(exchange);
    connection
        .channel()
        .writeAndFlush(
            new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.target(),
                Unpooled.wrappedBuffer(request.body()),
                request.headers(),
                EmptyHttpHeaders.INSTANCE))
        .addListener(
            f -> {
              if (!f.isSuccess()) {
                connection.close();
                exchange.fail("not written: " + f.cause());
              }
            });
  }

  private static InetSocketAddress addressOf(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Keeps a connection for a later request. */
  void keep(BackendConnection connection) {
    Deque<BackendConnection> queue =
        idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
    if (queue.size() >= MAX_IDLE_OF_ADDRESS) {
      connection.close();
      return;
    }
    connection.idleUntil(System.nanoTime() + IDLE_NANOS);
    queue.addLast(connection);
  }

  /** Forgets a connection that was closed. */
  void forget(BackendConnection connection) {
    Deque<BackendConnection> queue = idle.get(connection.address());
    if (queue != null) {
      queue.remove(connection);
    }
  }

  /** Closes what was idle for too long. */
  void sweep(long nowNanos) {
    List<BackendConnection> expired = new ArrayList<>();
    for (Deque<BackendConnection> queue : idle.values()) {
      for (BackendConnection c : queue) {
        if (!c.isUsable(nowNanos, YOUNG_NANOS)) {
          expired.add(c);
        }
      }
    }
    expired.forEach(BackendConnection::close);
    idle.values().removeIf(Deque::isEmpty);
  }

  /** Closes all idle connections, after a pause of this process. */
  void closeIdle() {
    List<BackendConnection> all = new ArrayList<>();
    idle.values().forEach(all::addAll);
    all.forEach(BackendConnection::close);
  }
}
