package org.gentianslip.core.published;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The latest removals of items by key.
 *
 * <p>Holds at most {@link #MAX_REMOVALS} removals; the ones recorded first are dropped. Not
 * thread-safe.
 */
final class RemovalHistory {

  /** The maximum number of removals that are remembered, the latest ones. */
  static final int MAX_REMOVALS = 10_000;

  private final Map<String, Removal> removals = new LinkedHashMap<>();

  /**
   * The removal of an item.
   *
   * @param revision the revision of the removal
   * @param last the last known value
   */
  record Removal(Revision revision, Optional<PublishedItem> last) {}

  /** Records a removal; the latest revision and the last known value of an item are kept. */
  void record(String key, Revision revision, Optional<PublishedItem> last) {
    Removal known = removals.remove(key);
    if (known == null) {
      known = new Removal(Revision.NONE, Optional.empty());
    }
    removals.put(
        key, new Removal(Revision.latest(known.revision(), revision), last.or(known::last)));
    if (removals.size() > MAX_REMOVALS) {
      removals.remove(removals.keySet().iterator().next());
    }
  }

  /** Returns the removal of an item, if it is remembered. */
  Optional<Removal> find(String key) {
    return Optional.ofNullable(removals.get(key));
  }

  /** Forgets the removal of an item that exists again. */
  void forget(String key) {
    removals.remove(key);
  }
}
