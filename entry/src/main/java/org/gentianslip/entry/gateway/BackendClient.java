package org.gentianslip.entry.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gentianslip.entry.http.SocketAddressParser;

/**
 * An HTTP client with a connection pool that sends each request to a backend server or another
 * instance at most once.
 *
 * <p>A request is written only after its connection is established and its {@link WriteCheck} has
 * passed, so a failure to connect proves that no byte was written. Idle connections leave the pool
 * as soon as the other side closes them. Confined to one event loop.
 */
final class BackendClient {

  /** The time after which an idle connection is closed. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** The idle time up to which a connection is reused whatever its Keep-Alive timeout is. */
  private static final long ALWAYS_USABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final int MAX_IDLE_PER_ADDRESS = 32;
  private static final int MAX_HEADER_BYTES = 65_536;

  private final EventLoop loop;
  private final Map<String, Deque<BackendConnection>> idle = new HashMap<>();
  private final CrashDetector crashDetector = new CrashDetector(this);

  BackendClient(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns the detector of backend servers that are down. */
  CrashDetector crashDetector() {
    return crashDetector;
  }

  /** Sends a request and passes its response to a listener. */
  Exchange send(OutgoingRequest request, ResponseListener listener) {
    var exchange = new Exchange(request, listener);
    BackendConnection reused = request.fresh() ? null : pollIdle(request);
    if (reused != null) {
      write(reused, exchange);
    } else {
      connect(exchange);
    }
    return exchange;
  }

  /** Returns the connection that was used last, of those on which the request was never sent. */
  private BackendConnection pollIdle(OutgoingRequest request) {
    Deque<BackendConnection> queue = idle.get(request.address());
    if (queue == null) {
      return null;
    }
    long now = System.nanoTime();
    Iterator<BackendConnection> latestFirst = queue.descendingIterator();
    while (latestFirst.hasNext()) {
      BackendConnection connection = latestFirst.next();
      if (!connection.isUsable(now, ALWAYS_USABLE_NANOS)) {
        latestFirst.remove();
        connection.close();
      } else if (!connection.hasSent(request.id())) {
        latestFirst.remove();
        return connection;
      }
    }
    return null;
  }

  /** Tries a new connection to an address, which is kept for a later request if it succeeds. */
  void checkReachable(String address, int connectMillis, Consumer<Boolean> onResult) {
    Future<Channel> connected = connect(address, connectMillis);
    connected.addListener(
        f -> {
          BackendConnection connection =
              connected.isSuccess()
                  ? connected.getNow().pipeline().get(BackendConnection.class)
                  : null;
          if (connection != null && connected.getNow().isActive()) {
            release(connection);
          }
          onResult.accept(connected.isSuccess());
        });
  }

  private void connect(Exchange exchange) {
    OutgoingRequest request = exchange.request();
    Future<Channel> connected = connect(request.address(), request.connectMillis());
    connected.addListener(f -> onConnected(exchange, connected));
  }

  /** Connects to an address; a text that is no address counts as a failure to connect. */
  private Future<Channel> connect(String address, int connectMillis) {
    Promise<Channel> connected = loop.newPromise();
    try {
      connect(SocketAddressParser.parse(address), address, connectMillis)
          .addListener(
              (ChannelFutureListener)
                  f -> {
                    if (f.isSuccess()) {
                      markConnected(f.channel());
                      connected.setSuccess(f.channel());
                    } else {
                      connected.setFailure(f.cause());
                    }
                  });
    } catch (IllegalArgumentException e) {
      connected.setFailure(e);
    }
    return connected;
  }

  private ChannelFuture connect(InetSocketAddress target, String address, int connectMillis) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                var config =
                    new HttpDecoderConfig()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setHeadersFactory(new ResponseHeadersFactory())
                        .setTrailersFactory(new BoundedHeadersFactory());
                var connection = new BackendConnection(BackendClient.this, address);
                channel
                    .pipeline()
                    .addLast(
                        new HttpRequestEncoder(),
                        new ResponseDecoder(config, connection::answersHead),
                        connection);
              }
            })
        .connect(target);
  }

  private static void markConnected(Channel channel) {
    BackendConnection connection = channel.pipeline().get(BackendConnection.class);
    if (connection != null) {
      connection.markConnected(System.nanoTime());
    }
  }

  private void onConnected(Exchange exchange, Future<Channel> connected) {
    if (!connected.isSuccess()) {
      exchange.fail("no connection: " + connected.cause());
      return;
    }
    Channel channel = connected.getNow();
    BackendConnection connection = channel.pipeline().get(BackendConnection.class);
    if (connection == null || !channel.isActive()) {
      exchange.fail("the connection was closed at once");
      return;
    }
    if (exchange.hasEnded()) {
      release(connection);
      return;
    }
    exchange.listener().onConnected();
    write(connection, exchange);
  }

  private void write(BackendConnection connection, Exchange exchange) {
    OutgoingRequest request = exchange.request();
    if (!request.check().prepare(System.nanoTime(), request.headers())) {
      release(connection);
      exchange.endUnwritten();
      return;
    }
    connection.assign(exchange);
    exchange.markWritten(connection.channel(), connection.use(), connection.connectedNanos());
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
              if (f.isSuccess()) {
                connection.onWritten(exchange);
              } else {
                exchange.fail("not written: " + f.cause());
                connection.close();
              }
            });
  }

  /** Returns a connection to the pool, or closes it if the pool of its address is full. */
  void release(BackendConnection connection) {
    Deque<BackendConnection> queue =
        idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
    if (queue.size() >= MAX_IDLE_PER_ADDRESS) {
      connection.close();
      return;
    }
    connection.markIdleUntil(System.nanoTime() + MAX_IDLE_NANOS);
    queue.addLast(connection);
  }

  /** Removes a closed connection from the pool. */
  void remove(BackendConnection connection) {
    Deque<BackendConnection> queue = idle.get(connection.address());
    if (queue != null) {
      queue.remove(connection);
    }
  }

  /** Closes the connections that have been idle for too long. */
  void closeExpired(long nowNanos) {
    List<BackendConnection> expired = new ArrayList<>();
    for (Deque<BackendConnection> queue : idle.values()) {
      for (BackendConnection connection : queue) {
        if (!connection.isUsable(nowNanos, ALWAYS_USABLE_NANOS)) {
          expired.add(connection);
        }
      }
    }
    expired.forEach(BackendConnection::close);
    idle.values().removeIf(Deque::isEmpty);
  }

  /** Closes all idle connections. */
  void closeIdle() {
    List<BackendConnection> all = new ArrayList<>();
    idle.values().forEach(all::addAll);
    all.forEach(BackendConnection::close);
  }
}
