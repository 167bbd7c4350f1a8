package org.gentianslip.core.customer;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.route.RouteTable;

/**
 * The keys that earlier configurations held, to tell a removed key from one that never existed.
 *
 * <p>Keeps hashes only, the most recent {@value #MAX_KEYS} of them. Nothing is decided by them, as
 * two keys may have the same hash. Thread-safe.
 */
public final class FormerKeys {

  static final int MAX_KEYS = 4_096;

  /** The text for a key that is not known to have been held. */
  static final String NEVER = "none";

  private final Map<Long, Holding> removed = new LinkedHashMap<>();
  private Optional<CustomerTable> latest = Optional.empty();

  /** The last version of the configuration in which a customer held a key. */
  private record Holding(CustomerId customer, long version) {}

  /** Records the keys that a configuration no longer holds. */
  public synchronized void applyChange(Optional<RouteTable> before, Optional<RouteTable> after) {
    Optional<CustomerTable> next = after.flatMap(RouteTable::customers);
    if (next.isEmpty() || next.equals(latest)) {
      return;
    }
    latest = next;
    removed.keySet().removeIf(next.get()::holds);
    if (before.isPresent() && before.get().customers().isPresent()) {
      long version = before.get().version();
      before
          .get()
          .customers()
          .get()
          .holdersMissingIn(next.get())
          .forEach((hash, customer) -> removed.put(hash, new Holding(customer, version)));
    }
    var oldestFirst = removed.keySet().iterator();
    for (int excess = removed.size() - MAX_KEYS; excess > 0; excess--) {
      oldestFirst.next();
      oldestFirst.remove();
    }
  }

  /** Returns the last holder of a key and the last version with it, without the key. */
  public synchronized String describe(byte[] key) {
    if (latest.isEmpty()) {
      return NEVER;
    }
    Holding holding = removed.get(latest.get().hashOf(key));
    return holding == null ? NEVER : holding.customer() + " last-version=" + holding.version();
  }
}
