package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Tells how a value in force changes, and for which branches.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param setting the name of the setting
 * @param before the value before
 * @param after the value after
 * @param branches the branches whose requests it changes for
 */
record ValueChange(String setting, JsonNode before, JsonNode after, List<String> branches) {
  ValueChange {
    branches = List.copyOf(branches);
  }
}
