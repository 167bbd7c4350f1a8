package org.gentianslip.entry.operator;

import io.jooby.Context;
import java.util.Optional;
import java.util.function.Predicate;
import org.gentianslip.entry.http.HeaderNames;

/**
 * Tells who may use the operators' routes.
 *
 * <p>Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface OperatorAccess {

  /** Returns why a caller may not use the routes, or nothing if it may. */
  Optional<String> refusal(Context ctx);

  /** Admits callers that send the operators' key. */
  static OperatorAccess byKey(Predicate<String> key) {
    return ctx ->
        key.test(ctx.header(HeaderNames.OPERATOR_KEY).valueOrNull())
            ? Optional.empty()
            : Optional.of("The header X-Operator-Key is missing or wrong.");
  }

  /** Admits callers on the instance's own machine, for places that hand out no key. */
  static OperatorAccess byRemoteAddress(String host) {
    return ctx ->
        ctx.getRemoteAddress().equals(host)
            ? Optional.empty()
            : Optional.of("Operators are served on the instance's own machine only.");
  }
}
