package org.gentianslip.load.call;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * Where callers reach an entry instance.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the instance
 * @param region the instance's region
 * @param address the address as {@code IP:PORT}
 */
public record EntryAddress(InstanceId id, RegionId region, String address) {

  /** Returns the entries in a JSON array, those without an address left out. */
  static List<EntryAddress> listOf(JsonNode array, String addressField) {
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
