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
import org.gentianslip.core.id.SoftwareVersion;

/**
 * What instances tell each other about a request that they forward: its customer, the backend
 * servers concerned, so that it runs at each of them at most once, and the version of their
 * software, so that a stream goes on at the one that began it.
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

  /** The header with the version that began the stream of a forwarded request. */
  private static final String BEGUN_VERSION = "X-Gentian-Begun-Version";

  /** The header with the version of the backend server that sends a stream. */
  private static final String VERSION = "X-Gentian-Version";

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

  static void setBegunVersion(HttpHeaders headers, SoftwareVersion version) {
    headers.set(BEGUN_VERSION, version.value());
  }

  /** Returns whether the sender limits a request to a version, even to an unreadable one. */
  static boolean statesBegunVersion(HttpHeaders headers) {
    return headers.contains(BEGUN_VERSION);
  }

  static Optional<SoftwareVersion> begunVersion(HttpHeaders headers) {
    return onlyVersion(headers, BEGUN_VERSION);
  }

  static void setVersion(HttpHeaders headers, SoftwareVersion version) {
    headers.set(VERSION, version.value());
  }

  static Optional<SoftwareVersion> version(HttpHeaders headers) {
    return onlyVersion(headers, VERSION);
  }

  private static Optional<SoftwareVersion> onlyVersion(HttpHeaders headers, String name) {
    List<String> values = headers.getAll(name);
    return values.size() == 1 ? parse(values.get(0), SoftwareVersion::of) : Optional.empty();
  }

  /** Removes what is meant for instances from the headers of a response. */
  static void removeFromResponse(HttpHeaders headers) {
    headers.remove(RAN_AT);
    headers.remove(VERSION);
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
