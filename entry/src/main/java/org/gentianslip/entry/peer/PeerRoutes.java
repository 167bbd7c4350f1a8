package org.gentianslip.entry.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.jooby.Jooby;
import java.util.Optional;
import java.util.function.Predicate;
import org.gentianslip.entry.configservice.SettingsUpdater;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;

/**
 * Adds the HTTP routes for hellos and settings between instances. Safe for use by several threads.
 */
public final class PeerRoutes {

  private final HelloExchange hellos;
  private final SettingsUpdater settingsUpdater;
  private final Predicate<String> isPeerKey;

  /**
   * Creates the routes.
   *
   * @param isPeerKey tests whether a text is the key that instances share
   */
  public PeerRoutes(
      HelloExchange hellos, SettingsUpdater settingsUpdater, Predicate<String> isPeerKey) {
    this.hellos = hellos;
    this.settingsUpdater = settingsUpdater;
    this.isPeerKey = isPeerKey;
  }

  /** Adds the routes to a port. */
  public void addTo(Jooby app) {
    app.post("/peer/v1/hello", ctx -> requireKey(ctx, () -> hello(ctx)));
    app.get("/peer/v1/settings/{revision}", ctx -> requireKey(ctx, () -> settings(ctx)));
  }

  private interface Handler {
    Context handle();
  }

  private Context requireKey(Context ctx, Handler handler) {
    ctx.setResponseType("application/json");
    if (!isPeerKey.test(ctx.header(HeaderNames.PEER_KEY).valueOrNull())) {
      return fail(ctx, ErrorCode.FORBIDDEN, "The header X-Peer-Key is missing or wrong.");
    }
    return handler.handle();
  }

  private Context hello(Context ctx) {
    byte[] body = ctx.body().bytes();
    try {
      return ctx.send(hellos.reply(System.nanoTime(), body == null ? new byte[0] : body));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return fail(ctx, ErrorCode.MALFORMED_JSON, "The hello is malformed.");
    }
  }

  private Context settings(Context ctx) {
    Optional<SettingsUpdater.RevisionContent> inForce = settingsUpdater.contentInForce();
    String revision = ctx.path("revision").value();
    if (inForce.isEmpty()
        || !settingsUpdater.acceptedManifest().revision().toString().equals(revision)) {
      return fail(
          ctx, ErrorCode.UNKNOWN_PATH, "This settings revision is not in force on this instance.");
    }
    return ctx.send(PeerSettingsClient.encode(inForce.get()));
  }

  private static Context fail(Context ctx, ErrorCode code, String message) {
    ctx.setResponseCode(code.status());
    return ctx.send(ErrorReply.notRun(code, message).toJson());
  }
}
