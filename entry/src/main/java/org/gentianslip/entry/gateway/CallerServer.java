package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.gentianslip.core.route.CallerLimits;

/**
 * An HTTP server on one port, for callers or for instances that forward requests.
 *
 * <p>It does not use a server framework because response bodies must be passed on byte for byte, a
 * disconnected caller must be detected at once, and a truncated response must not look complete.
 * Safe for use by several threads.
 */
final class CallerServer implements AutoCloseable {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int BACKLOG = 1_024;
  private static final int MAX_LINE_BYTES = 16_384;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int CHUNK_BYTES = 65_536;
  private static final long TIMEOUT_CHECK_MILLIS = 500;

  private final EventLoopGroup loops;
  private final Supplier<CallerLimits> limits;
  private final BooleanSupplier leaving;
  private final CallerBuffers buffers;
  private final RequestHandler handler;
  private final UnansweredRequests unanswered = new UnansweredRequests();
  private final ChannelGroup connections =
      new DefaultChannelGroup("callers", GlobalEventExecutor.INSTANCE);
  private Channel listener;

  /**
   * Creates a server that does not listen yet.
   *
   * @param limits supplies the limits in force
   * @param leaving supplies whether connections are closed after their next response
   * @param buffers bound the bytes of requests and responses
   * @param handler handles the requests
   */
  CallerServer(
      EventLoopGroup loops,
      Supplier<CallerLimits> limits,
      BooleanSupplier leaving,
      CallerBuffers buffers,
      RequestHandler handler) {
    this.loops = loops;
    this.limits = limits;
    this.leaving = leaving;
    this.buffers = buffers;
    this.handler = handler;
  }

  /** Binds the port and starts accepting connections. */
  void listen(String host, int port) throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.add(channel);
                    var config =
                        new HttpDecoderConfig()
                            .setMaxInitialLineLength(MAX_LINE_BYTES)
                            .setMaxHeaderSize(MAX_HEADER_BYTES)
                            .setMaxChunkSize(CHUNK_BYTES)
                            .setHeadersFactory(new BoundedHeadersFactory())
                            .setTrailersFactory(new BoundedHeadersFactory());
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(config),
                            new CallerConnection(limits, leaving, unanswered, buffers, handler));
                  }
                })
            .bind(host, port)
            .sync()
            .channel();
    loops.scheduleWithFixedDelay(
        this::closeTimedOut, TIMEOUT_CHECK_MILLIS, TIMEOUT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    LOGGER.atInfo().log("gateway: event=listen address=%s:%s", host, port);
  }

  private void closeTimedOut() {
    long now = System.nanoTime();
    for (Channel channel : connections) {
      CallerConnection connection = channel.pipeline().get(CallerConnection.class);
      if (connection != null) {
        channel.eventLoop().execute(() -> connection.closeIfTimedOut(now));
      }
    }
  }

  /** Returns the number of requests that were read and whose responses are not written. */
  int unanswered() {
    return unanswered.count();
  }

  /** Stops accepting connections and closes the idle ones. */
  void stopAccepting() {
    listener.close();
    for (Channel channel : connections) {
      CallerConnection connection = channel.pipeline().get(CallerConnection.class);
      if (connection != null) {
        channel.eventLoop().execute(connection::closeIfIdle);
      }
    }
  }

  /** Stops listening and closes all connections immediately. */
  @Override
  public void close() {
    if (listener != null) {
      listener.close();
    }
    connections.close();
  }
}
