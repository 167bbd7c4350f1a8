package org.gentianslip.ctl;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Formats rows in aligned columns, at most {@value #MAX_WIDTH} characters wide.
 *
 * <p>If the rows are wider, the widest columns are narrowed and their cells are wrapped. Not safe
 * for use by several threads.
 */
final class TextTable {

  /** The maximum width of a line, in characters. */
  static final int MAX_WIDTH = 100;

  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();
  private final int columnCount;

  private TextTable(String... headers) {
    columnCount = headers.length;
    rows.add(List.of(headers));
  }

  /** Returns a table without rows. */
  static TextTable of(String... headers) {
    return new TextTable(headers);
  }

  /**
   * Adds a row.
   *
   * @throws IllegalArgumentException if the number of cells differs from that of the headers
   */
  TextTable add(Object... cells) {
    if (cells.length != columnCount) {
      throw new IllegalArgumentException(
          "A row must have " + columnCount + " cells, but has " + cells.length);
    }
    rows.add(Arrays.stream(cells).map(Object::toString).toList());
    return this;
  }

  boolean hasRows() {
    return rows.size() > 1;
  }

  /** Returns the lines of the table, without trailing spaces. */
  List<String> lines() {
    int[] widths = widths();
    var lines = new ArrayList<String>();
    rows.forEach(row -> addLines(row, widths, lines));
    return lines;
  }

  private int[] widths() {
    int[] widths = new int[columnCount];
    for (List<String> row : rows) {
      for (int i = 0; i < columnCount; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    int available = MAX_WIDTH - COLUMN_SEPARATOR.length() * (columnCount - 1);
    while (Arrays.stream(widths).sum() > available) {
      widths[widestColumn(widths)]--;
    }
    return widths;
  }

  private static int widestColumn(int[] widths) {
    int widest = 0;
    for (int i = 1; i < widths.length; i++) {
      if (widths[i] > widths[widest]) {
        widest = i;
      }
    }
    return widest;
  }

  private static void addLines(List<String> row, int[] widths, List<String> lines) {
    var cells = new ArrayList<List<String>>();
    int height = 0;
    for (int i = 0; i < widths.length; i++) {
      cells.add(wrap(row.get(i), widths[i]));
      height = Math.max(height, cells.get(i).size());
    }
    for (int lineIndex = 0; lineIndex < height; lineIndex++) {
      var line = new StringBuilder();
      for (int i = 0; i < widths.length; i++) {
        String text = lineIndex < cells.get(i).size() ? cells.get(i).get(lineIndex) : "";
        line.append(i == 0 ? "" : COLUMN_SEPARATOR).append(text);
        line.append(" ".repeat(widths[i] - text.length()));
      }
      lines.add(line.toString().stripTrailing());
    }
  }

  /** Wraps a text at spaces, and within words that are longer than a line. */
  private static List<String> wrap(String text, int width) {
    var lines = new ArrayList<String>();
    String rest = text;
    while (rest.length() > width) {
      int space = rest.lastIndexOf(' ', width);
      int end = space > 0 ? space : width;
      lines.add(rest.substring(0, end));
      rest = rest.substring(end).stripLeading();
    }
    lines.add(rest);
    return lines;
  }
}
