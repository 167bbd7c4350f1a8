package org.gentianslip.entry.peer;

import java.util.Collection;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.gentianslip.entry.caller.RendezvousHash;
import org.gentianslip.entry.platform.EntryRecord;
import org.gentianslip.entry.platform.InstanceList;
import org.gentianslip.entry.process.EntryPlace;

/**
 * Chooses to whom an instance sends hellos: its whole region, and a few contacts in each other.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class HelloTargets {

  private static final int CONTACTS_PER_REGION = 2;

  private HelloTargets() {}

  static Collection<EntryRecord> choose(InstanceList list, EntryPlace place) {
    Map<String, EntryRecord> chosen = new TreeMap<>();
    Map<String, NavigableMap<Long, EntryRecord>> away = new TreeMap<>();
    String own = place.instance().value();
    for (EntryRecord entry : list.entries()) {
      if (entry.id().equals(own)) {
        continue;
      }
      if (entry.region().equals(place.region().value())) {
        chosen.put(entry.id(), entry);
        continue;
      }
      away.computeIfAbsent(entry.region(), r -> new TreeMap<>())
          .put(RendezvousHash.weight(own, entry.id()), entry);
    }
    for (var region : away.values()) {
      region.values().stream().limit(CONTACTS_PER_REGION).forEach(e -> chosen.put(e.id(), e));
    }
    return chosen.values();
  }
}
