package org.gentianslip.ctl;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * The address of an instance's port for operators. Immutable and safe for use by several threads.
 *
 * @param host the IP address
 * @param port the port
 */
record OperatorAddress(String host, int port) {

  private static final Pattern IP_AND_PORT =
      Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  /**
   * Parses {@code IP:PORT}.
   *
   * @throws IllegalArgumentException if the text is not of this form
   */
  static OperatorAddress parse(String text) {
    Matcher matcher = IP_AND_PORT.matcher(text);
    if (matcher.matches()) {
      int port = Integer.parseInt(matcher.group(2));
      if (port >= 1 && port <= MAX_PORT) {
        return new OperatorAddress(matcher.group(1), port);
      }
    }
    throw new IllegalArgumentException("An address must be IP:PORT, but is \"" + text + "\"");
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }

  /** Converts addresses of the command line. Stateless. */
  static final class Converter implements ITypeConverter<OperatorAddress> {
    @Override
    public OperatorAddress convert(String text) {
      try {
        return parse(text);
      } catch (IllegalArgumentException e) {
        throw new TypeConversionException(e.getMessage());
      }
    }
  }
}
