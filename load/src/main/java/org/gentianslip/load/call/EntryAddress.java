package org.gentianslip.load.call;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * The address at which callers reach an entry instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the instance
 * @param region the region of the instance
 * @param address the address, as {@code IP:PORT}
 */
public record EntryAddress(InstanceId id, RegionId region, String address) {

  /** Parses a JSON array of entries, skipping those without the given address field. */
  static List<EntryAddress> parseList(JsonNode array, String addressField) {
    List<EntryAddress> entries = new ArrayList<>();
    for (JsonNode node : array) {
      if (!node.hasNonNull(addressField)) {
        continue;
      }
      entries.add(
          new EntryAddress(
              InstanceId.of(node.path("id").asText()),
              RegionId.of(node.path("region").asText()),
              node.path(addressField).asText()));
    }
    return List.copyOf(entries);
  }
}
