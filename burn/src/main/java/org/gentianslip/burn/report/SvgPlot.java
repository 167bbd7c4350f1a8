package org.gentianslip.burn.report;

import java.util.List;
import java.util.Locale;
import org.gentianslip.burn.window.RatePoint;

/**
 * Draws burn rates over time as a drawing that stands within a page.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class SvgPlot {

  private static final int WIDTH = 560;
  private static final int HEIGHT = 120;
  private static final int MARGIN = 36;
  private static final double MIN_TOP_RATE = 2;
  private static final double MILLIS_PER_SECOND = 1_000;

  private SvgPlot() {}

  static String draw(List<RatePoint> points) {
    double top = MIN_TOP_RATE;
    long first = -1;
    for (RatePoint point : points) {
      top = Math.max(top, point.rate());
      first = Math.min(first, point.relativeMillis());
    }
    StringBuilder svg = new StringBuilder();
    svg.append(
        "<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">"
            .formatted(WIDTH, HEIGHT, WIDTH, HEIGHT));
    svg.append(level(0, top, "#999")).append(level(1, top, "#c33"));
    svg.append("<polyline fill=\"none\" stroke=\"#247\" stroke-width=\"1.5\" points=\"");
    for (RatePoint point : points) {
      svg.append(
          format("%.1f,%.1f ", across(point.relativeMillis(), first), down(point.rate(), top)));
    }
    svg.append("\"/>");
    svg.append(label(2, down(top, top) + 4, format("%.1f", top)));
    svg.append(label(2, down(1, top) + 4, "1"));
    svg.append(label(MARGIN, HEIGHT - 2, format("%.0f s", first / MILLIS_PER_SECOND)));
    svg.append(label(WIDTH - MARGIN, HEIGHT - 2, "now"));
    return svg.append("</svg>").toString();
  }

  private static String level(double rate, double top, String colour) {
    return format(
        "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" stroke-width=\"0.5\"/>",
        MARGIN, WIDTH, down(rate, top), down(rate, top), colour);
  }

  private static String label(double left, double base, String text) {
    return format("<text x=\"%.1f\" y=\"%.1f\" font-size=\"10\">%s</text>", left, base, text);
  }

  private static double across(long relativeMillis, long firstMillis) {
    double share = 1 - (double) relativeMillis / firstMillis;
    return MARGIN + share * (WIDTH - MARGIN);
  }

  private static double down(double rate, double top) {
    int bottom = HEIGHT - MARGIN / 2;
    return bottom - Math.min(rate, top) / top * (bottom - MARGIN / 2.0);
  }

  private static String format(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
