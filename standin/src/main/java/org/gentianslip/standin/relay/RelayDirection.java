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
 * One direction of a connection, which delivers bytes in order, each after its delay.
 *
 * <p>It stops reading from its source while it holds more than {@value #MAX_HELD_BYTES} bytes.
 * Confined to the event loop of the connection.
 */
final class RelayDirection {

  private static final int MAX_HELD_BYTES = 1 << 20;

  /** Bytes, or null for the end of the stream, with the time of their delivery. */
  private record DelayedChunk(ByteBuf bytes, long dueNanos) {}

  private final RelayConnection connection;
  private final RelayLink link;
  private final boolean forward;
  private final long latencyNanos;
  private final long connectedNanos;
  private final Deque<DelayedChunk> chunks = new ArrayDeque<>();
  private Channel source;
  private Channel sink;
  private int heldBytes;
  private boolean scheduled;

  RelayDirection(
      RelayConnection connection,
      RelayLink link,
      boolean forward,
      long latencyNanos,
      long connectedNanos) {
    this.connection = connection;
    this.link = link;
    this.forward = forward;
    this.latencyNanos = latencyNanos;
    this.connectedNanos = connectedNanos;
  }

  /** Sets the two channels and starts the delivery. */
  void setChannels(Channel newSource, Channel newSink) {
    source = newSource;
    sink = newSink;
    deliver();
  }

  /** Returns the handler that enqueues the bytes read from a channel. */
  ChannelHandler readHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        enqueue((ByteBuf) message, System.nanoTime());
      }

      @Override
      public void channelInactive(ChannelHandlerContext ctx) {
        connection.removeIfClosed();
        enqueueEnd(System.nanoTime());
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
      }
    };
  }

  /** Delivers all due chunks and schedules the delivery of the next one. */
  void deliver() {
    if (sink == null || link.state() == RelayLink.State.SILENT) {
      return;
    }
    long nowNanos = System.nanoTime();
    while (!chunks.isEmpty() && chunks.peek().dueNanos() - nowNanos <= 0) {
      deliverChunk(chunks.poll());
    }
    if (!chunks.isEmpty() && !scheduled) {
      scheduled = true;
      sink.eventLoop()
          .schedule(
              this::deliverScheduled, chunks.peek().dueNanos() - nowNanos, TimeUnit.NANOSECONDS);
    }
  }

  /** Discards all held bytes. */
  void discardHeldBytes() {
    while (!chunks.isEmpty()) {
      var bytes = chunks.poll().bytes();
      if (bytes != null) {
        discard(bytes);
      }
    }
    heldBytes = 0;
    if (source != null) {
      source.config().setAutoRead(true);
    }
  }

  private void enqueue(ByteBuf bytes, long nowNanos) {
    if (connection.isDiscarding()) {
      discard(bytes);
      return;
    }
    int length = bytes.readableBytes();
    long beginNanos = connectedNanos - nowNanos > 0 ? connectedNanos : nowNanos;
    var rate = forward ? link.forwardRate : link.backwardRate;
    chunks.add(new DelayedChunk(bytes, rate.departureNanos(length, beginNanos) + latencyNanos));
    heldBytes += length;
    if (heldBytes > MAX_HELD_BYTES && source != null) {
      source.config().setAutoRead(false);
    }
    deliver();
  }

  private void enqueueEnd(long nowNanos) {
    if (connection.isDiscarding()) {
      return;
    }
    long lastDueNanos = chunks.isEmpty() ? nowNanos : chunks.peekLast().dueNanos();
    chunks.add(new DelayedChunk(null, Math.max(lastDueNanos - nowNanos, latencyNanos) + nowNanos));
    deliver();
  }

  private void deliverScheduled() {
    scheduled = false;
    deliver();
  }

  private void deliverChunk(DelayedChunk chunk) {
    if (chunk.bytes() == null) {
      sink.close();
      return;
    }
    int length = chunk.bytes().readableBytes();
    (forward ? link.forwardBytes : link.backwardBytes).addAndGet(length);
    link.capture.add(chunk.bytes());
    sink.writeAndFlush(chunk.bytes()).addListener(sent -> finishDelivery(length));
  }

  private void finishDelivery(int length) {
    heldBytes -= length;
    if (heldBytes <= MAX_HELD_BYTES) {
      source.config().setAutoRead(true);
    }
  }

  private void discard(ByteBuf bytes) {
    link.droppedBytes.addAndGet(bytes.readableBytes());
    bytes.release();
  }
}
