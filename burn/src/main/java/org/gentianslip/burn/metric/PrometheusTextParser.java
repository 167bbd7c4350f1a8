package org.gentianslip.burn.metric;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the Prometheus text format.
 *
 * <p>Stateless and thread-safe.
 */
public final class PrometheusTextParser {

  private PrometheusTextParser() {}

  /**
   * Returns the samples in the text, skipping comments and empty lines.
   *
   * @throws IllegalArgumentException if a line is malformed; the message quotes the line
   */
  public static List<MetricSample> parse(String text) {
    List<MetricSample> samples = new ArrayList<>();
    for (String line : text.split("\n", -1)) {
      String trimmed = line.trim();
      if (!trimmed.isEmpty() && !trimmed.startsWith("#")) {
        samples.add(parseLine(trimmed));
      }
    }
    return samples;
  }

  private static MetricSample parseLine(String line) {
    try {
      Map<String, String> labels = new HashMap<>();
      int open = line.indexOf('{');
      int nameEnd = open >= 0 ? open : line.indexOf(' ');
      int valueStart = open >= 0 ? parseLabels(line, open + 1, labels) : nameEnd;
      String value = line.substring(valueStart).trim().split(" ", -1)[0];
      return new MetricSample(line.substring(0, nameEnd), labels, parseNumber(value));
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      throw new IllegalArgumentException("malformed metric line: \"" + line + "\"", e);
    }
  }

  private static int parseLabels(String line, int start, Map<String, String> labels) {
    int position = start;
    while (line.charAt(position) != '}') {
      int equals = line.indexOf('=', position);
      String name = line.substring(position, equals);
      StringBuilder value = new StringBuilder();
      position = parseQuoted(line, equals + 2, value);
      labels.put(name, value.toString());
      if (line.charAt(position) == ',') {
        position++;
      }
    }
    return position + 1;
  }

  private static int parseQuoted(String line, int start, StringBuilder value) {
    int position = start;
    for (char c = line.charAt(position); c != '"'; c = line.charAt(++position)) {
      if (c != '\\') {
        value.append(c);
        continue;
      }
      char escaped = line.charAt(++position);
      value.append(escaped == 'n' ? '\n' : escaped);
    }
    return position + 1;
  }

  private static double parseNumber(String value) {
    return switch (value) {
      case "+Inf" -> Double.POSITIVE_INFINITY;
      case "-Inf" -> Double.NEGATIVE_INFINITY;
      default -> Double.parseDouble(value);
    };
  }
}
