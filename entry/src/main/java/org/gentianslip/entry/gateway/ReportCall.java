package org.gentianslip.entry.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.stream.RunEvidence;

/**
 * One call that asks an engine for its report. It always ends, with one result.
 *
 * <p>It bears no request id: a server that has the engine's address by now, and no such call, would
 * run it as a request. Confined to one event loop.
 */
final class ReportCall implements ResponseListener {

  /** The time limit of a call, with its connection, in milliseconds. */
  static final int TIMEOUT_MILLIS = 300;

  /** The largest report that is read, in bytes; thousands of runs fit. */
  private static final int MAX_BYTES = 256 << 10;

  private static final AtomicLong NUMBER = new AtomicLong();

  private final Gateway gateway;
  private final Backend backend;
  private final ReportPurpose purpose;
  private final Listener listener;
  private final String id;
  private final long begunNanos = System.nanoTime();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Exchange exchange;
  private ScheduledFuture<?> timer;
  private int status;
  private boolean otherAnswers;
  private boolean refusedWithoutId;
  private boolean ended;

  /** Receives the result of a call, which is one of these. */
  interface Listener {

    /** Called with a complete answer, which may be no report. */
    void onAnswer(int status, byte[] body);

    /** Called if there is no complete answer, with what that says about the engine. */
    void onNoAnswer(RunEvidence evidence);
  }

  private ReportCall(Gateway gateway, Backend backend, ReportPurpose purpose, Listener listener) {
    this.gateway = gateway;
    this.backend = backend;
    this.purpose = purpose;
    this.listener = listener;
    this.id = gateway.state().config().id().value() + "-report-" + NUMBER.incrementAndGet();
  }

  /**
   * Asks an engine for its report, on the event loop. A backend server of a service without engines
   * is not called, as it would run the call as a request.
   */
  static void start(
      Gateway gateway, EventLoop loop, Backend backend, ReportPurpose purpose, Listener listener) {
    if (!BackendRegistry.isEngine(gateway.state().published(), backend)) {
      listener.onNoAnswer(RunEvidence.NO_CALL);
      return;
    }
    new ReportCall(gateway, backend, purpose, listener).send(loop);
  }

  private void send(EventLoop loop) {
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.set(HttpHeaderNames.HOST, backend.address());
    gateway.edgeHeaders().setReceiver(headers, backend.id().value());
    // A connection of its own is needed, as the answer names no id.
    headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    var request =
        new OutgoingRequest(
            backend.address(),
            HttpMethod.GET,
            gateway.engineReports().target(),
            headers,
            new byte[0],
            id,
            gateway.edgeHeaders().requestId(),
            true,
            TIMEOUT_MILLIS,
            (now, requestHeaders) -> true);
    timer = loop.schedule(this::onTimeout, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    exchange = gateway.client(loop).send(request, this);
  }

  private void onTimeout() {
    if (ended) {
      return;
    }
    boolean written = exchange.cancel();
    if (status > 0) {
      end(RunEvidence.NO_REPORT);
    } else {
      end(written ? RunEvidence.NO_ANSWER : RunEvidence.UNREACHABLE);
    }
  }

  @Override
  public void onHead(int receivedStatus, HttpHeaders headers) {
    status = receivedStatus;
    otherAnswers = gateway.edgeHeaders().isOtherReceiver(receivedStatus, headers);
    refusedWithoutId = gateway.edgeHeaders().isRefusedWithoutId(receivedStatus, headers);
  }

  @Override
  public void onBodyPart(byte[] bytes) {
    if (ended) {
      return;
    }
    if (body.size() + bytes.length > MAX_BYTES) {
      exchange.cancel();
      end(RunEvidence.NO_REPORT);
      return;
    }
    body.writeBytes(bytes);
  }

  @Override
  public void onComplete() {
    if (otherAnswers) {
      end(RunEvidence.OTHER_SERVER);
    } else if (refusedWithoutId) {
      end(evidenceOfRefusal());
    } else if (markEnded("answered")) {
      listener.onAnswer(status, body.toByteArray());
    }
  }

  /** A server that knows the call answers it, so what refuses it as a request has no report. */
  private RunEvidence evidenceOfRefusal() {
    return gateway.engineContacts().answersCalls(backend.service())
        ? RunEvidence.OTHER_SERVER
        : RunEvidence.NO_CALL;
  }

  /** An engine that closes the connection, or answers otherwise, is alive and has no such call. */
  @Override
  public void onFailure(boolean written, String cause) {
    end(written ? RunEvidence.NO_REPORT : RunEvidence.UNREACHABLE);
  }

  @Override
  public void onNotWritten() {
    end(RunEvidence.UNREACHABLE);
  }

  private void end(RunEvidence evidence) {
    if (markEnded(evidence.name().toLowerCase(Locale.ROOT).replace('_', '-'))) {
      if (evidence == RunEvidence.OTHER_SERVER) {
        gateway.engineContacts().recordOtherServer(System.nanoTime(), backend);
      }
      listener.onNoAnswer(evidence);
    }
  }

  private boolean markEnded(String result) {
    if (ended) {
      return false;
    }
    ended = true;
    timer.cancel(false);
    gateway.reportLog().record(System.nanoTime(), begunNanos, id, purpose, backend, status, result);
    return true;
  }
}
