package org.gentianslip.bench.report;

import java.util.List;
import java.util.Locale;

/**
 * A plot of lines over time, drawn as inline SVG.
 *
 * <p>Immutable and thread-safe.
 *
 * @param title the title of the plot
 * @param stepSeconds the time between two successive values of a line, in seconds
 * @param lines the lines, all of the same length
 */
record TimelinePlot(String title, int stepSeconds, List<Line> lines) {

  private static final int WIDTH = 520;
  private static final int HEIGHT = 200;
  private static final int LEFT = 44;
  private static final int TOP = 24;
  private static final int RIGHT = 10;
  private static final int BOTTOM = 22;
  private static final List<String> COLOURS =
      List.of("#888888", "#d08030", "#3070c0", "#209050", "#a03090", "#c03030");

  /**
   * One line of a plot. Immutable and thread-safe.
   *
   * @param name the name in the legend
   * @param values the values, in the order of time
   */
  record Line(String name, List<Double> values) {}

  /** Returns the SVG element. */
  String toSvg() {
    double maxValue = 1e-9;
    for (Line line : lines) {
      for (double value : line.values()) {
        maxValue = Math.max(maxValue, value);
      }
    }
    var svg = new StringBuilder();
    svg.append(format("<svg viewBox=\"0 0 %d %d\" width=\"%d\">", WIDTH, HEIGHT, WIDTH));
    svg.append(format("<text x=\"%d\" y=\"14\" class=\"t\">%s</text>", LEFT, title));
    svg.append(format("<text x=\"2\" y=\"%d\">%.3g</text>", TOP + 8, maxValue));
    svg.append(format("<text x=\"2\" y=\"%d\">0</text>", HEIGHT - BOTTOM));
    int values = lines.isEmpty() ? 0 : lines.get(0).values().size();
    svg.append(
        format(
            "<text x=\"%d\" y=\"%d\">%d s</text>",
            WIDTH - RIGHT - 40, HEIGHT - 6, values * stepSeconds));
    svg.append(
        format(
            "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" class=\"f\"/>",
            LEFT, TOP, WIDTH - LEFT - RIGHT, HEIGHT - TOP - BOTTOM));
    for (int i = 0; i < lines.size(); i++) {
      svg.append(polyline(lines.get(i), COLOURS.get(i % COLOURS.size()), maxValue));
    }
    return svg.append("</svg>\n").toString();
  }

  /** Returns the names of the lines in their colours, as an HTML paragraph. */
  String legend() {
    var html = new StringBuilder("<p>");
    for (int i = 0; i < lines.size(); i++) {
      html.append(
          format(
              "<span style=\"color:%s\">&#9632; %s</span> ",
              COLOURS.get(i % COLOURS.size()), lines.get(i).name()));
    }
    return html.append("</p>\n").toString();
  }

  private static String polyline(Line line, String colour, double maxValue) {
    var points = new StringBuilder();
    double stepPixels = (double) (WIDTH - LEFT - RIGHT) / Math.max(1, line.values().size() - 1);
    for (int i = 0; i < line.values().size(); i++) {
      double y = HEIGHT - BOTTOM - line.values().get(i) / maxValue * (HEIGHT - TOP - BOTTOM);
      points.append(format("%.1f,%.1f ", LEFT + i * stepPixels, y));
    }
    return format(
        "<polyline points=\"%s\" stroke=\"%s\" class=\"l\"/>", points.toString().strip(), colour);
  }

  private static String format(String pattern, Object... values) {
    return String.format(Locale.ROOT, pattern, values);
  }
}
