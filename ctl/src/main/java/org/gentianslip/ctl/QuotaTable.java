package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

/**
 * Formats what instances report of the quotas of customers. Stateless and safe for use by several
 * threads.
 */
final class QuotaTable {

  private QuotaTable() {}

  /** Returns the table, ordered by customer and instance. */
  static TextTable of(List<JsonNode> statuses) {
    var rows = new TreeMap<String, Object[]>();
    for (JsonNode status : statuses) {
      String instance = status.path("instance").asText();
      for (JsonNode quota : status.path("quotas")) {
        String customer = quota.path("customer").asText();
        rows.put(
            customer + " " + instance,
            new Object[] {
              customer,
              instance,
              quota.path("allowance").asText(),
              quota.path("usable").asText(),
              quota.path("own").asText(),
              quota.path("others").asText(),
              String.format(Locale.ROOT, "%.3f", quota.path("weight").asDouble()),
              quota.path("refused").asText()
            });
      }
    }
    TextTable table =
        TextTable.of(
            "CUSTOMER", "INSTANCE", "LIMIT", "USABLE", "OWN", "OTHERS", "WEIGHT", "REFUSED");
    rows.values().forEach(table::add);
    return table;
  }
}
