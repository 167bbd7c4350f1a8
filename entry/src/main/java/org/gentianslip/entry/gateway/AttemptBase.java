package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Locale;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.stream.EventSplitter;

/**
 * Holds what attempts at backend servers and at other instances have in common: reading the answer.
 *
 * <p>A plain answer is read whole before it is passed on; a stream goes on by whole events. Used on
 * one event loop only.
 */
abstract class AttemptBase implements AnswerListener {

  private static final int MAX_PLAIN_BYTES = 16 << 20;
  private static final String EVENT_STREAM = "text/event-stream";

  private final RequestRun run;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final EventSplitter splitter = new EventSplitter();
  private Exchange exchange;
  private int status;
  private HttpHeaders headers;
  private boolean streamed;
  private long lastHeardNanos = System.nanoTime();
  private boolean over;

  AttemptBase(RequestRun run) {
    this.run = run;
  }

  RequestRun run() {
    return run;
  }

  /** Sends the request. */
  abstract void start(long nowNanos, int connectMillis);

  /** Notes in the books that the other side failed. */
  abstract void noteFailure(long nowNanos);

  /** Notes in the books that the other side gave no sign for long, which may be load only. */
  abstract void noteSilence(long nowNanos);

  /** Notes in the books that no connection could be made. */
  abstract void noteUnreachable(long nowNanos);

  /** Returns the backend server, or what stands for any that another instance may choose. */
  abstract EngineId place();

  /** Takes a whole answer that is no stream. */
  abstract void answered(int answeredStatus, HttpHeaders answeredHeaders, byte[] whole);

  /** Hears that the first event came. */
  abstract void firstEvent();

  /** Hears that a stream is complete. */
  abstract void streamed();

  /** Returns whether a stream's head may be passed on. */
  abstract boolean isTrusted(HttpHeaders head);

  /**
   * Sends the caller's request.
   *
   * @param fresh whether it needs a connection that was not used before
   */
  void send(String address, HttpHeaders sent, boolean fresh, int connectMillis) {
    IncomingRequest request = run.request();
    var outgoing =
        new OutgoingRequest(
            address,
            request.method(),
            request.target(),
            sent,
            request.body(),
            run.id(),
            run.gateway().edge().requestId(),
            fresh,
            connectMillis);
    exchange = run.gateway().client(run.sink().loop()).send(outgoing, this);
  }

  long lastHeardNanos() {
    return lastHeardNanos;
  }

  void cancel() {
    if (exchange != null && !over) {
      over = true;
      exchange.cancel();
      released();
    }
  }

  /** Hears that the attempt was given up for a reason that lies elsewhere. */
  abstract void released();

  void setReading(boolean reading) {
    if (exchange != null) {
      exchange.setReading(reading);
    }
  }

  @Override
  public void head(int answeredStatus, HttpHeaders answeredHeaders) {
    status = answeredStatus;
    headers = answeredHeaders;
    lastHeardNanos = System.nanoTime();
    String type = answeredHeaders.get(HttpHeaderNames.CONTENT_TYPE, "").toLowerCase(Locale.ROOT);
    streamed =
        status == 200
            && run.route().streaming()
            && type.startsWith(EVENT_STREAM)
            && isTrusted(answeredHeaders);
  }

  @Override
  public void part(byte[] bytes) {
    lastHeardNanos = System.nanoTime();
    if (over) {
      return;
    }
    if (!streamed) {
      body.writeBytes(bytes);
      if (body.size() > MAX_PLAIN_BYTES) {
        exchange.cancel();
        failed(true, "the answer is larger than " + MAX_PLAIN_BYTES + " bytes");
      }
      return;
    }
    int before = splitter.events();
    byte[] whole = splitter.append(bytes);
    if (whole.length == 0) {
      return;
    }
    if (before == 0) {
      firstEvent();
    }
    run.events(run.toCaller(headers), whole, splitter.lastId());
  }

  @Override
  public void complete() {
    if (over) {
      return;
    }
    if (!streamed) {
      over = true;
      answered(status, headers, body.toByteArray());
      return;
    }
    if (splitter.hasPartial()) {
      failed(true, "the stream ended inside an event");
      return;
    }
    over = true;
    streamed();
    run.streamComplete(run.toCaller(headers));
  }

  @Override
  public void failed(boolean written, String cause) {
    if (over) {
      return;
    }
    over = true;
    long now = System.nanoTime();
    if (written) {
      noteFailure(now);
    } else {
      noteUnreachable(now);
    }
    run.attemptFailed(this, written, cause);
  }
}
