package org.gentianslip.entry.operator;

import io.jooby.Context;
import java.util.Optional;
import java.util.function.Predicate;
import org.gentianslip.entry.http.HeaderNames;

/**
 * Decides who may use the operators' routes.
 *
 * <p>Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface OperatorAccess {

  /** Returns why a client may not use the routes, or empty if it may. */
  Optional<String> refusal(Context ctx);

  /** Admits clients that send the operators' key. */
  static OperatorAccess byKey(Predicate<String> isOperatorKey) {
    return ctx ->
        isOperatorKey.test(ctx.header(HeaderNames.OPERATOR_KEY).valueOrNull())
            ? Optional.empty()
            : Optional.of("The header X-Operator-Key is missing or wrong.");
  }

  /**
   * Admits clients with the given remote address only, for platforms that provide no operators'
   * key.
   */
  static OperatorAccess byRemoteAddress(String host) {
    return ctx ->
        ctx.getRemoteAddress().equals(host)
            ? Optional.empty()
            : Optional.of("Operators are served only on the instance's own host.");
  }
}
