package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.EngineId;

/**
 * What instances tell each other about a request that they forward: its customer, and the backend
 * servers concerned, so that it runs at each of them at most once.
 *
 * <p>Values that are no ids are left out. Stateless and safe for use by several threads.
 */
final class ForwardHeaders {

  /** The header with the id of a backend server that must not run a forwarded request. */
  private static final String EXCLUDED = "X-Gentian-Excluded";

  /** The header with the id of the backend server that may have run a forwarded request. */
  private static final String RAN_AT = "X-Gentian-Ran-At";

  /** The header with the id of the customer of a forwarded request. */
  private static final String CUSTOMER = "X-Gentian-Customer";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private ForwardHeaders() {}

  static void setExcluded(HttpHeaders headers, Collection<EngineId> backends) {
    headers.set(EXCLUDED, backends.stream().map(EngineId::value).toList());
  }

  static Set<EngineId> excluded(HttpHeaders headers) {
    Set<EngineId> backends = new HashSet<>();
    headers.getAll(EXCLUDED).forEach(text -> parse(text, EngineId::of).ifPresent(backends::add));
    return backends;
  }

  static void setCustomer(HttpHeaders headers, CustomerId customer) {
    headers.set(CUSTOMER, customer.value());
  }

  /** Returns the names of customers as they were received. */
  static List<String> customers(HttpHeaders headers) {
    return headers.getAll(CUSTOMER);
  }

  static Optional<CustomerId> parseCustomer(String text) {
    return parse(text, CustomerId::of);
  }

  static void setRanAt(HttpHeaders headers, EngineId backend) {
    headers.set(RAN_AT, backend.value());
  }

  static Optional<EngineId> ranAt(HttpHeaders headers) {
    return Optional.ofNullable(headers.get(RAN_AT)).flatMap(t -> parse(t, EngineId::of));
  }

  static void removeRanAt(HttpHeaders headers) {
    headers.remove(RAN_AT);
  }

  private static <T> Optional<T> parse(String text, Function<String, T> parser) {
    try {
      return Optional.of(parser.apply(text));
    } catch (IllegalArgumentException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "gateway: event=bad-header cause=%s", e.getMessage());
      return Optional.empty();
    }
  }
}
