package org.gentianslip.standin.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * One direction of a connection: delivers bytes in order, each after its delay.
 *
 * <p>At most about {@value #MAX_HELD_BYTES} bytes are held; then its source is not read. Confined
 * to the event loop of the connection.
 */
final class Pipe {

  private static final int MAX_HELD_BYTES = 1 << 20;

  /** Bytes, or the end of the stream if there are none, and when they arrive. */
  private record Parcel(ByteBuf bytes, long dueNanos) {}

  private final RelayConnection connection;
  private final Link link;
  private final boolean forward;
  private final long latencyNanos;
  private final long openNanos;
  private final Deque<Parcel> parcels = new ArrayDeque<>();
  private Channel source;
  private Channel sink;
  private int heldBytes;
  private boolean scheduled;

  Pipe(RelayConnection connection, Link link, boolean forward, long latencyNanos, long openNanos) {
    this.connection = connection;
    this.link = link;
    this.forward = forward;
    this.latencyNanos = latencyNanos;
    this.openNanos = openNanos;
  }

  /** Sets the two sides; nothing is delivered before. */
  void connect(Channel from, Channel to) {
    source = from;
    sink = to;
    deliver();
  }

  /** Returns the handler that puts what a channel reads into this pipe. */
  ChannelHandler reader() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        take((ByteBuf) message, System.nanoTime());
      }

      @Override
      public void channelInactive(ChannelHandlerContext ctx) {
        connection.sideClosed();
        end(System.nanoTime());
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
      }
    };
  }

  /** Delivers what is due and waits for the rest. */
  void deliver() {
    if (sink == null || link.state() == Link.State.SILENT) {
      return;
    }
    long now = System.nanoTime();
    while (!parcels.isEmpty() && parcels.peek().dueNanos() - now <= 0) {
      send(parcels.poll());
    }
    if (!parcels.isEmpty() && !scheduled) {
      scheduled = true;
      sink.eventLoop()
          .schedule(this::deliverLater, parcels.peek().dueNanos() - now, TimeUnit.NANOSECONDS);
    }
  }

  /** Drops what is held. */
  void drop() {
    while (!parcels.isEmpty()) {
      var bytes = parcels.poll().bytes();
      if (bytes != null) {
        dropBytes(bytes);
      }
    }
    heldBytes = 0;
    if (source != null) {
      source.config().setAutoRead(true);
    }
  }

  private void take(ByteBuf bytes, long nowNanos) {
    if (connection.isLost()) {
      dropBytes(bytes);
      return;
    }
    int length = bytes.readableBytes();
    long begin = openNanos - nowNanos > 0 ? openNanos : nowNanos;
    var rate = forward ? link.forwardRate : link.backwardRate;
    parcels.add(new Parcel(bytes, rate.departureNanos(length, begin) + latencyNanos));
    heldBytes += length;
    if (heldBytes > MAX_HELD_BYTES && source != null) {
      source.config().setAutoRead(false);
    }
    deliver();
  }

  private void end(long nowNanos) {
    if (connection.isLost()) {
      return;
    }
    long last = parcels.isEmpty() ? nowNanos : parcels.peekLast().dueNanos();
    parcels.add(new Parcel(null, Math.max(last - nowNanos, latencyNanos) + nowNanos));
    deliver();
  }

  private void deliverLater() {
    scheduled = false;
    deliver();
  }

  private void send(Parcel parcel) {
    if (parcel.bytes() == null) {
      sink.close();
      return;
    }
    int length = parcel.bytes().readableBytes();
    (forward ? link.forwardBytes : link.backwardBytes).addAndGet(length);
    link.capture.add(parcel.bytes());
    sink.writeAndFlush(parcel.bytes()).addListener(sent -> release(length));
  }

  private void release(int length) {
    heldBytes -= length;
    if (heldBytes <= MAX_HELD_BYTES) {
      source.config().setAutoRead(true);
    }
  }

  private void dropBytes(ByteBuf bytes) {
    link.droppedBytes.addAndGet(bytes.readableBytes());
    bytes.release();
  }
}
