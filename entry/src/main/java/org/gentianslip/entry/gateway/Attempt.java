package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.Optional;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.limit.BufferShare;
import org.gentianslip.core.stream.EventSplitter;

/**
 * One attempt to get a response for a request from a backend server or from another instance.
 *
 * <p>This base class reads the response. A plain response is buffered completely before it is
 * passed on; a stream is passed on event by event. Confined to one event loop.
 */
abstract class Attempt implements ResponseListener {

  /** The largest plain response that is buffered, in bytes. */
  private static final int MAX_PLAIN_BYTES = 16 << 20;

  /** The largest event of a stream, in bytes. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private static final String EVENT_STREAM = "text/event-stream";

  private final RequestExecution execution;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final EventSplitter splitter = new EventSplitter();
  private Exchange exchange;
  private int status;
  private HttpHeaders headers;
  private boolean streamed;
  private boolean endsWithConnection;
  private long lastReceivedNanos = System.nanoTime();
  private final BufferShare buffered;
  private int headBytes;
  private long bufferedBytes;
  private boolean givenUp;
  private boolean ended;

  Attempt(RequestExecution execution) {
    this.execution = execution;
    this.buffered = BufferShare.of(execution.gateway().buffers().responses());
  }

  RequestExecution execution() {
    return execution;
  }

  /** Sends the request; connecting may take up to {@code connectMillis} milliseconds. */
  abstract void start(long nowNanos, int connectMillis);

  /** Records that the target failed after the request may have been written. */
  abstract void recordFailure(long nowNanos, String cause);

  /** Records that the target sent nothing for too long, which may be due to load alone. */
  abstract void recordSilence(long nowNanos);

  /** Records that the target failed before any byte of the request was written. */
  abstract void recordUnreachable(long nowNanos);

  /**
   * Returns whether this instance seems to be cut off from the target: its connection was not
   * established, and not just refused as that of a single server that is down would be.
   */
  boolean seemsCutOff(long nowNanos) {
    return false;
  }

  /**
   * Called when the stream of this attempt was silent for too long; the attempt may be replaced.
   *
   * @param timeoutMillis the time without data after which a stream counts as silent
   */
  abstract void onSilentStream(long nowNanos, long silentMillis, long timeoutMillis);

  /** Starts the request elsewhere once the run of this attempt, which failed, has ended. */
  abstract void replaceBroken();

  /**
   * Returns the backend server that may run the request, or a placeholder for it while it is chosen
   * by another instance.
   */
  abstract EngineId target();

  /**
   * Keeps further attempts away from what might lead to the backend server of this one, or from an
   * instance that does not accept connections.
   */
  abstract void exclude(long nowNanos, AttemptPlanner planner);

  /** Takes back what {@link #exclude} has excluded. */
  abstract void include(AttemptPlanner planner);

  /** Called with a complete response that is not a stream. */
  abstract void onResponse(int receivedStatus, HttpHeaders receivedHeaders, byte[] receivedBody);

  /** Returns the version of the backend server that sends the response, if it is known. */
  abstract Optional<SoftwareVersion> version();

  /** Called before the first event of a stream is passed on. */
  abstract void onFirstEvent();

  /** Called when a stream is complete, before its end is passed on. */
  abstract void onStreamComplete();

  /** Returns whether a response with this head may be passed on as a stream. */
  abstract boolean maySendStreamHead(HttpHeaders head);

  /**
   * Sends the caller's request to an address.
   *
   * @param requestHeaders the headers to send
   * @param fresh whether the request requires a new connection
   * @param connectMillis the connect timeout, in milliseconds
   */
  void send(String address, HttpHeaders requestHeaders, boolean fresh, int connectMillis) {
    BufferedHttpRequest request = execution.request();
    var outgoing =
        new OutgoingRequest(
            address,
            request.method(),
            request.target(),
            requestHeaders,
            request.body(),
            execution.id(),
            execution.gateway().edgeHeaders().requestId(),
            fresh,
            connectMillis,
            this::prepareWrite);
    exchange = execution.gateway().client(execution.writer().eventLoop()).send(outgoing, this);
    exchange.setReading(execution.writer().isWritable());
  }

  /** Sets the time left in the headers; returns false if none is left or the caller has left. */
  private boolean prepareWrite(long nowNanos, HttpHeaders requestHeaders) {
    long leftMillis = execution.remainingMillis(nowNanos) - oneWayMillis();
    if (leftMillis <= 0 || !execution.isCallerConnected(nowNanos)) {
      return false;
    }
    setRemainingMillis(requestHeaders, leftMillis);
    return true;
  }

  /** Returns the time that the request takes to its target, in milliseconds. */
  abstract long oneWayMillis();

  /** Sets the time left when the request reaches its target. */
  void setRemainingMillis(HttpHeaders requestHeaders, long millis) {
    requestHeaders.set(execution.gateway().edgeHeaders().deadlineMillis(), Long.toString(millis));
  }

  /** Returns the number of complete events of the stream that were received. */
  int receivedEvents() {
    return splitter.events();
  }

  /**
   * Returns when a complete event of a stream, or any other data, was last received, or when this
   * attempt was created if none was.
   */
  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Returns when the connection was established on which a part of the response arrived. */
  long connectedNanos() {
    return exchange.connectedNanos();
  }

  /** Returns whether this instance has given the attempt up, whatever its target does. */
  boolean givenUp() {
    return givenUp;
  }

  /** Returns whether any byte of the request may have been written. */
  boolean mayHaveBeenWritten() {
    return exchange != null && exchange.written();
  }

  /** Cancels the attempt unless it has ended. */
  void cancel() {
    if (exchange != null && !ended) {
      end();
      exchange.cancel();
      onCancelled();
    }
  }

  /** Called when the request no longer waits for this attempt. */
  abstract void onCancelled();

  /** Pauses or resumes reading the response. */
  void setReading(boolean reading) {
    if (exchange != null) {
      exchange.setReading(reading);
    }
  }

  @Override
  public void onHead(int receivedStatus, HttpHeaders receivedHeaders) {
    status = receivedStatus;
    headers = receivedHeaders;
    lastReceivedNanos = System.nanoTime();
    execution.onHeadReceived(status, exchange.connectionUse());
    endsWithConnection =
        !receivedHeaders.contains(HttpHeaderNames.CONTENT_LENGTH)
            && !receivedHeaders.contains(HttpHeaderNames.TRANSFER_ENCODING);
    String type = receivedHeaders.get(HttpHeaderNames.CONTENT_TYPE, "").toLowerCase(Locale.ROOT);
    streamed =
        status == 200
            && execution.route().streaming()
            && type.startsWith(EVENT_STREAM)
            && maySendStreamHead(receivedHeaders);
    headBytes = HeadSize.bytes(receivedHeaders);
    mayBuffer(0, MAX_EVENT_BYTES);
  }

  @Override
  public void onBodyPart(byte[] bytes) {
    if (ended) {
      return;
    }
    if (!streamed) {
      lastReceivedNanos = System.nanoTime();
      if (mayBuffer(body.size() + bytes.length, MAX_PLAIN_BYTES)) {
        body.writeBytes(bytes);
      }
      return;
    }
    final int before = splitter.events();
    byte[] events = splitter.append(bytes);
    if (!mayBuffer(splitter.pendingBytes(), MAX_EVENT_BYTES) || events.length == 0) {
      return;
    }
    lastReceivedNanos = System.nanoTime();
    if (before == 0) {
      onFirstEvent();
    }
    execution.writeEvents(execution.responseHeaders(headers), events, splitter.lastId());
  }

  /** Gives the attempt up if its buffer would be too large; returns whether it goes on. */
  private boolean mayBuffer(int bytes, int maxBytes) {
    if (bytes <= maxBytes && buffered.tryResize((long) headBytes + bytes)) {
      bufferedBytes = bytes;
      return true;
    }
    exchange.cancel();
    givenUp = true;
    onFailure(true, "more than " + bufferedBytes + " bytes would be buffered");
    return false;
  }

  /** Ends the attempt, whose response must not be passed on, without a fault of its target. */
  void giveUp(String cause) {
    if (ended) {
      return;
    }
    exchange.cancel();
    end();
    execution.onAttemptFailed(this, true, cause);
  }

  private void end() {
    ended = true;
    buffered.release();
    body = new ByteArrayOutputStream(0);
    splitter.discardPending();
  }

  @Override
  public void onComplete() {
    if (ended) {
      return;
    }
    if (!streamed) {
      byte[] complete = body.toByteArray();
      end();
      onResponse(status, headers, complete);
      return;
    }
    if (splitter.hasIncompleteEvent()) {
      onFailure(true, "the stream ended inside an event");
      return;
    }
    if (endsWithConnection && splitter.events() == 0) {
      onFailure(true, "the stream ended without an event");
      return;
    }
    end();
    onStreamComplete();
    execution.completeStream(execution.responseHeaders(headers));
  }

  @Override
  public void onNotWritten() {
    if (ended) {
      return;
    }
    end();
    onCancelled();
    execution.onAttemptNotWritten(this);
  }

  @Override
  public void onFailure(boolean written, String cause) {
    if (ended) {
      return;
    }
    end();
    long now = System.nanoTime();
    if (written) {
      recordFailure(now, cause);
    } else {
      recordUnreachable(now);
    }
    execution.onAttemptFailed(this, written, cause);
  }
}
