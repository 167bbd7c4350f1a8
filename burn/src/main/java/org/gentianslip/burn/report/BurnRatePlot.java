package org.gentianslip.burn.report;

import java.util.List;
import java.util.Locale;
import org.gentianslip.burn.window.BurnRatePoint;

/**
 * Draws burn rates over time as inline SVG.
 *
 * <p>Stateless and thread-safe.
 */
final class BurnRatePlot {

  private static final int WIDTH = 560;
  private static final int HEIGHT = 120;
  private static final int MARGIN = 36;
  private static final double MIN_AXIS_RATE = 2;
  private static final double MILLIS_PER_SECOND = 1_000;

  private BurnRatePlot() {}

  static String draw(List<BurnRatePoint> points) {
    double maxRate = MIN_AXIS_RATE;
    long firstMillis = -1;
    for (BurnRatePoint point : points) {
      maxRate = Math.max(maxRate, point.rate());
      firstMillis = Math.min(firstMillis, point.relativeMillis());
    }
    StringBuilder svg = new StringBuilder();
    svg.append(
        "<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">"
            .formatted(WIDTH, HEIGHT, WIDTH, HEIGHT));
    svg.append(horizontalLine(0, maxRate, "#999")).append(horizontalLine(1, maxRate, "#c33"));
    svg.append("<polyline fill=\"none\" stroke=\"#247\" stroke-width=\"1.5\" points=\"");
    for (BurnRatePoint point : points) {
      svg.append(
          format(
              "%.1f,%.1f ", toX(point.relativeMillis(), firstMillis), toY(point.rate(), maxRate)));
    }
    svg.append("\"/>");
    svg.append(label(2, toY(maxRate, maxRate) + 4, format("%.1f", maxRate)));
    svg.append(label(2, toY(1, maxRate) + 4, "1"));
    svg.append(label(MARGIN, HEIGHT - 2, format("%.0f s", firstMillis / MILLIS_PER_SECOND)));
    svg.append(label(WIDTH - MARGIN, HEIGHT - 2, "now"));
    return svg.append("</svg>").toString();
  }

  private static String horizontalLine(double rate, double maxRate, String colour) {
    return format(
        "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" stroke-width=\"0.5\"/>",
        MARGIN, WIDTH, toY(rate, maxRate), toY(rate, maxRate), colour);
  }

  private static String label(double x, double y, String text) {
    return format("<text x=\"%.1f\" y=\"%.1f\" font-size=\"10\">%s</text>", x, y, text);
  }

  private static double toX(long relativeMillis, long firstMillis) {
    double share = 1 - (double) relativeMillis / firstMillis;
    return MARGIN + share * (WIDTH - MARGIN);
  }

  private static double toY(double rate, double maxRate) {
    int bottom = HEIGHT - MARGIN / 2;
    return bottom - Math.min(rate, maxRate) / maxRate * (bottom - MARGIN / 2.0);
  }

  private static String format(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
