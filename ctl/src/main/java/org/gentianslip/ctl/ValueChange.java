package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * A difference in a value in force between two states of the settings.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param setting the name of the setting
 * @param before the value before
 * @param after the value after
 * @param branches the ids of the branches whose requests have the change
 */
record ValueChange(String setting, JsonNode before, JsonNode after, List<String> branches) {
  ValueChange {
    branches = List.copyOf(branches);
  }
}
