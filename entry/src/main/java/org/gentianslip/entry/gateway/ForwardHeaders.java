package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.EngineId;

/**
 * The backend servers that instances name to each other when they forward a request, so that it
 * runs at each of them at most once.
 *
 * <p>Values that are no ids are left out. Stateless and safe for use by several threads.
 */
final class ForwardHeaders {

  /** The header with the id of a backend server that must not run a forwarded request. */
  private static final String EXCLUDED = "X-Gentian-Excluded";

  /** The header with the id of the backend server that may have run a forwarded request. */
  private static final String RAN_AT = "X-Gentian-Ran-At";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private ForwardHeaders() {}

  static void setExcluded(HttpHeaders headers, Collection<EngineId> backends) {
    headers.set(EXCLUDED, backends.stream().map(EngineId::value).toList());
  }

  static Set<EngineId> excluded(HttpHeaders headers) {
    Set<EngineId> backends = new HashSet<>();
    headers.getAll(EXCLUDED).forEach(text -> parse(text).ifPresent(backends::add));
    return backends;
  }

  static void setRanAt(HttpHeaders headers, EngineId backend) {
    headers.set(RAN_AT, backend.value());
  }

  static Optional<EngineId> ranAt(HttpHeaders headers) {
    return Optional.ofNullable(headers.get(RAN_AT)).flatMap(ForwardHeaders::parse);
  }

  static void removeRanAt(HttpHeaders headers) {
    headers.remove(RAN_AT);
  }

  private static Optional<EngineId> parse(String text) {
    try {
      return Optional.of(EngineId.of(text));
    } catch (IllegalArgumentException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "gateway: event=bad-header cause=%s", e.getMessage());
      return Optional.empty();
    }
  }
}
