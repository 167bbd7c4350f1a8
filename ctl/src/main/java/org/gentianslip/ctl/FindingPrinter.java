package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.gentianslip.settings.Finding;

/**
 * Prints the findings of settings files.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class FindingPrinter {

  private FindingPrinter() {}

  /**
   * Prints why settings files are unreadable or invalid.
   *
   * @return the exit code
   */
  static int printFailure(Output output, SettingsFilesResult result, boolean json) {
    if (result instanceof SettingsFilesResult.Unreadable unreadable) {
      output.error(unreadable.message());
      return ExitStatus.USAGE_ERROR;
    }
    if (result instanceof SettingsFilesResult.Invalid invalid) {
      print(output, invalid.findings(), json);
      return ExitStatus.FAILURE;
    }
    throw new IllegalArgumentException("The files are valid; there is no failure to print");
  }

  /** Prints findings, either one per line or all as one JSON object. */
  static void print(Output output, List<Finding> findings, boolean json) {
    if (!json) {
      findings.forEach(f -> output.line(f.toString()));
      return;
    }
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("valid", findings.isEmpty());
    ArrayNode array = body.putArray("findings");
    for (Finding finding : findings) {
      array
          .addObject()
          .put("source", finding.source())
          .put("pointer", finding.pointer())
          .put("message", finding.message());
    }
    output.json(body);
  }
}
