package org.gentianslip.entry.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.stream.RunEvidence;

/**
 * One call that asks an engine whether it runs a request. It always ends, with one result. Confined
 * to one event loop.
 */
final class RunQuery implements ResponseListener {

  /** The time limit of a call, with its connection, in milliseconds. */
  static final int TIMEOUT_MILLIS = 300;

  /** The largest report that is read, in bytes; thousands of runs fit. */
  private static final int MAX_BYTES = 256 << 10;

  private static final AtomicLong NUMBER = new AtomicLong();

  private final Gateway gateway;
  private final Backend backend;
  private final String requestId;
  private final Consumer<RunEvidence> onResult;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Exchange exchange;
  private ScheduledFuture<?> timer;
  private int status;
  private boolean ended;

  private RunQuery(
      Gateway gateway, Backend backend, String requestId, Consumer<RunEvidence> onResult) {
    this.gateway = gateway;
    this.backend = backend;
    this.requestId = requestId;
    this.onResult = onResult;
  }

  /** Asks an engine for a run and passes on what was seen, on the event loop. */
  static void start(
      Gateway gateway,
      EventLoop loop,
      Backend backend,
      String requestId,
      Consumer<RunEvidence> onResult) {
    new RunQuery(gateway, backend, requestId, onResult).send(loop);
  }

  private void send(EventLoop loop) {
    String idHeader = gateway.edgeHeaders().requestId();
    // Each call has an id of its own, so its answer can't be taken for one to a request.
    String id = gateway.state().config().id().value() + "-report-" + NUMBER.incrementAndGet();
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.set(HttpHeaderNames.HOST, backend.address());
    headers.set(idHeader, id);
    gateway.edgeHeaders().addExpected(headers, backend);
    // The connection is not kept: the engine may close it after an answer that is no report.
    headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    var request =
        new OutgoingRequest(
            backend.address(),
            HttpMethod.GET,
            gateway.engineReports().target(),
            headers,
            new byte[0],
            id,
            idHeader,
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
    if (gateway.edgeHeaders().isOtherBackend(status, headers)) {
      exchange.cancel();
      end(RunEvidence.UNREACHABLE);
    }
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
    if (ended) {
      return;
    }
    Optional<Set<String>> runs = gateway.engineReports().runs(status, body.toByteArray());
    if (runs.isEmpty()) {
      end(RunEvidence.NO_REPORT);
      return;
    }
    end(runs.get().contains(requestId) ? RunEvidence.LISTED : RunEvidence.NOT_LISTED);
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
    if (ended) {
      return;
    }
    ended = true;
    timer.cancel(false);
    gateway
        .engineContacts()
        .recordEvidence(System.nanoTime(), backend.service(), backend.id(), evidence);
    onResult.accept(evidence);
  }
}
