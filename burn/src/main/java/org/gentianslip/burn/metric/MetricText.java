package org.gentianslip.burn.metric;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the Prometheus text format.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class MetricText {

  private MetricText() {}

  /**
   * Returns the lines that carry a value.
   *
   * @throws IllegalArgumentException if a line is malformed; the message quotes it
   */
  public static List<MetricLine> parse(String text) {
    List<MetricLine> lines = new ArrayList<>();
    for (String line : text.split("\n", -1)) {
      String trimmed = line.trim();
      if (!trimmed.isEmpty() && !trimmed.startsWith("#")) {
        lines.add(parseLine(trimmed));
      }
    }
    return lines;
  }

  private static MetricLine parseLine(String line) {
    try {
      Map<String, String> labels = new HashMap<>();
      int open = line.indexOf('{');
      int nameEnd = open >= 0 ? open : line.indexOf(' ');
      int valueStart = open >= 0 ? readLabels(line, open + 1, labels) : nameEnd;
      String value = line.substring(valueStart).trim().split(" ", -1)[0];
      return new MetricLine(line.substring(0, nameEnd), labels, number(value));
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      throw new IllegalArgumentException("malformed metric line: \"" + line + "\"", e);
    }
  }

  private static int readLabels(String line, int start, Map<String, String> labels) {
    int at = start;
    while (line.charAt(at) != '}') {
      int equals = line.indexOf('=', at);
      String name = line.substring(at, equals);
      StringBuilder value = new StringBuilder();
      at = readQuoted(line, equals + 2, value);
      labels.put(name, value.toString());
      if (line.charAt(at) == ',') {
        at++;
      }
    }
    return at + 1;
  }

  private static int readQuoted(String line, int start, StringBuilder value) {
    int at = start;
    for (char c = line.charAt(at); c != '"'; c = line.charAt(++at)) {
      if (c != '\\') {
        value.append(c);
        continue;
      }
      char escaped = line.charAt(++at);
      value.append(escaped == 'n' ? '\n' : escaped);
    }
    return at + 1;
  }

  private static double number(String value) {
    return switch (value) {
      case "+Inf" -> Double.POSITIVE_INFINITY;
      case "-Inf" -> Double.NEGATIVE_INFINITY;
      default -> Double.parseDouble(value);
    };
  }
}
