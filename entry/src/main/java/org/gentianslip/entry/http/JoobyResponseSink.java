package org.gentianslip.entry.http;

import io.jooby.Context;
import io.jooby.Sender;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Sends a response through Jooby.
 *
 * <p>The route must be marked as non-blocking. At most one write is pending at a time, so that a
 * slow caller slows the backend server down instead of filling memory. Used by one thread at a
 * time.
 */
public final class JoobyResponseSink implements ResponseSink {

  private static final long WRITE_TIMEOUT_SECONDS = 30;

  private final Context ctx;
  private final String requestId;
  private Sender sender;

  /** Creates a sink for the response of a Jooby context. */
  public JoobyResponseSink(Context ctx, String requestId) {
    this.ctx = ctx;
    this.requestId = requestId;
  }

  @Override
  public void fail(ErrorReply reply) {
    ctx.setResponseHeader(HeaderNames.OUTCOME, reply.outcome().text());
    send(reply.code().status(), reply.headers(), reply.toJson());
  }

  @Override
  public void send(int status, Map<String, String> headers, byte[] body) {
    start(status, headers);
    ctx.send(body);
  }

  @Override
  public void begin(int status, Map<String, String> headers) {
    start(status, headers);
    sender = ctx.responseSender();
  }

  private void start(int status, Map<String, String> headers) {
    ctx.setResponseCode(status);
    ctx.setResponseType("application/json");
    ctx.setResponseHeader(HeaderNames.REQUEST_ID, requestId);
    headers.forEach(
        (name, value) -> {
          if (name.equalsIgnoreCase("Content-Type")) {
            ctx.setResponseType(value);
          } else {
            ctx.setResponseHeader(name, value);
          }
        });
  }

  @Override
  public void write(byte[] chunk) throws IOException {
    var written = new CompletableFuture<Void>();
    sender.write(
        chunk,
        (context, cause) -> {
          if (cause == null) {
            written.complete(null);
          } else {
            written.completeExceptionally(cause);
          }
        });
    try {
      written.get(WRITE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw new IOException("The caller has disconnected", e.getCause());
    } catch (TimeoutException e) {
      throw new IOException("The caller read no bytes for " + WRITE_TIMEOUT_SECONDS + " s", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("Interrupted while writing to the caller");
    }
  }

  @Override
  public void end() {
    sender.close();
  }
}
