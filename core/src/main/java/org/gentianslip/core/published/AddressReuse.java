package org.gentianslip.core.published;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;

/**
 * Tells which published backend servers have left their address to a later one.
 *
 * <p>The address of a backend server is given away only once it has ended, but its entry may stay
 * for some heartbeats. Of the servers that are published with one address, the one that started
 * last has it. A server whose start is not known neither takes an address nor loses one, and one of
 * a service that is not configured takes none. Stateless and thread-safe.
 */
final class AddressReuse {

  private static final long UNKNOWN_START = 0;

  private AddressReuse() {}

  /**
   * Returns the backend servers that have lost their address, each with the one that has it.
   *
   * @param backends the published backend servers by id
   * @param isService tests whether a service is configured
   */
  static Map<EngineId, Backend> formerHolders(
      Map<EngineId, Backend> backends, Predicate<ServiceId> isService) {
    Map<String, Backend> holders = new HashMap<>();
    for (Backend b : backends.values()) {
      if (b.startedMillis() != UNKNOWN_START && isService.test(b.service())) {
        holders.merge(b.address(), b, (x, y) -> x.startedMillis() >= y.startedMillis() ? x : y);
      }
    }
    Map<EngineId, Backend> former = new HashMap<>();
    for (Backend b : backends.values()) {
      Backend holder = holders.get(b.address());
      if (holder != null && hasTakenAddress(holder, b)) {
        former.put(b.id(), holder);
      }
    }
    return former;
  }

  /**
   * Returns whether a backend server has lost its address, so that it has ended.
   *
   * @param earlier the backend server as it was published earlier
   * @param backends the backend servers that are published now, by id
   * @param isService tests whether a service is configured
   */
  static boolean isTaken(
      Backend earlier, Map<EngineId, Backend> backends, Predicate<ServiceId> isService) {
    return backends.values().stream()
        .anyMatch(b -> hasTakenAddress(b, earlier) && isService.test(b.service()));
  }

  private static boolean hasTakenAddress(Backend holder, Backend earlier) {
    return earlier.startedMillis() != UNKNOWN_START
        && holder.startedMillis() > earlier.startedMillis()
        && holder.address().equals(earlier.address());
  }
}
