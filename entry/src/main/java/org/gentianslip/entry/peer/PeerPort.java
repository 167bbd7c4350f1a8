package org.gentianslip.entry.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.jooby.Jooby;
import java.util.function.Predicate;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;

/** Adds the routes by which instances exchange what they know. Safe for several threads. */
public final class PeerPort {

  private final HelloExchange hellos;
  private final Predicate<String> key;

  /**
   * Creates the routes.
   *
   * @param key tells whether a text is the key that instances share
   */
  public PeerPort(HelloExchange hellos, Predicate<String> key) {
    this.hellos = hellos;
    this.key = key;
  }

  /** Adds the routes to a port. */
  public void addTo(Jooby app) {
    app.post("/peer/v1/hello", this::hello);
  }

  private Object hello(Context ctx) {
    if (!key.test(ctx.header(HeaderNames.PEER_KEY).valueOrNull())) {
      return fail(ctx, ErrorCode.FORBIDDEN, "The header X-Peer-Key is missing or wrong.");
    }
    ctx.setResponseType("application/json");
    try {
      return ctx.send(hellos.answer(System.nanoTime(), ctx.body().bytes()));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return fail(ctx, ErrorCode.MALFORMED_JSON, "The hello is not readable.");
    }
  }

  private static Object fail(Context ctx, ErrorCode code, String message) {
    ctx.setResponseCode(code.status());
    ctx.setResponseType("application/json");
    return ctx.send(ErrorReply.notRun(code, message).toJson());
  }
}
