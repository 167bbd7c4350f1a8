package org.gentianslip.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import picocli.CommandLine.Model.CommandSpec;

/**
 * Prints the results of a command to standard output and its errors to standard error.
 *
 * <p>Confined to one thread.
 */
final class Output {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final PrintWriter out;
  private final PrintWriter err;

  private Output(PrintWriter out, PrintWriter err) {
    this.out = out;
    this.err = err;
  }

  /** Returns the output of a command. */
  static Output of(CommandSpec spec) {
    return new Output(spec.commandLine().getOut(), spec.commandLine().getErr());
  }

  void line(String text) {
    out.println(text);
    out.flush();
  }

  void json(JsonNode node) {
    try {
      line(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("A JSON tree could not be written", e);
    }
  }

  void error(String text) {
    err.println(text);
    err.flush();
  }
}
