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

/** Adds the routes by which instances exchange what they know. Safe for several threads. */
public final class PeerPort {

  private final HelloExchange hellos;
  private final SettingsUpdater intake;
  private final Predicate<String> key;

  /**
   * Creates the routes.
   *
   * @param key tells whether a text is the key that instances share
   */
  public PeerPort(HelloExchange hellos, SettingsUpdater intake, Predicate<String> key) {
    this.hellos = hellos;
    this.intake = intake;
    this.key = key;
  }

  /** Adds the routes to a port. */
  public void addTo(Jooby app) {
    app.post("/peer/v1/hello", ctx -> guarded(ctx, () -> hello(ctx)));
    app.get("/peer/v1/settings/{revision}", ctx -> guarded(ctx, () -> settings(ctx)));
  }

  private interface Answer {
    Context give();
  }

  private Context guarded(Context ctx, Answer answer) {
    ctx.setResponseType("application/json");
    if (!key.test(ctx.header(HeaderNames.PEER_KEY).valueOrNull())) {
      return fail(ctx, ErrorCode.FORBIDDEN, "The header X-Peer-Key is missing or wrong.");
    }
    return answer.give();
  }

  private Context hello(Context ctx) {
    byte[] body = ctx.body().bytes();
    try {
      return ctx.send(hellos.answer(System.nanoTime(), body == null ? new byte[0] : body));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return fail(ctx, ErrorCode.MALFORMED_JSON, "The hello is not readable.");
    }
  }

  private Context settings(Context ctx) {
    Optional<SettingsUpdater.RevisionContent> inForce = intake.contentInForce();
    String revision = ctx.path("revision").value();
    if (inForce.isEmpty() || !intake.acceptedManifest().revision().toString().equals(revision)) {
      return fail(ctx, ErrorCode.UNKNOWN_PATH, "This revision is not in force here.");
    }
    return ctx.send(SettingsPull.write(inForce.get()));
  }

  private static Context fail(Context ctx, ErrorCode code, String message) {
    ctx.setResponseCode(code.status());
    return ctx.send(ErrorReply.notRun(code, message).toJson());
  }
}
