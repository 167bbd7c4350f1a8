package org.gentianslip.ctl;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Lays out rows in columns, at most {@value #MAX_COLUMNS} characters wide.
 *
 * <p>If the rows need more, the widest columns are made narrower and their cells take several
 * lines. Not safe for use by several threads.
 */
final class TextTable {

  /** The greatest width of a line, in characters. */
  static final int MAX_COLUMNS = 100;

  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();
  private final int columns;

  private TextTable(String... headers) {
    columns = headers.length;
    rows.add(List.of(headers));
  }

  /** Returns a table without rows. */
  static TextTable of(String... headers) {
    return new TextTable(headers);
  }

  /**
   * Adds a row.
   *
   * @throws IllegalArgumentException if it does not have as many cells as there are headers
   */
  TextTable add(Object... cells) {
    if (cells.length != columns) {
      throw new IllegalArgumentException(
          "A row must have " + columns + " cells, but has " + cells.length);
    }
    rows.add(Arrays.stream(cells).map(Object::toString).toList());
    return this;
  }

  boolean hasRows() {
    return rows.size() > 1;
  }

  /** Returns the lines of the table, without spaces at their ends. */
  List<String> lines() {
    int[] widths = widths();
    var lines = new ArrayList<String>();
    rows.forEach(row -> addLines(row, widths, lines));
    return lines;
  }

  private int[] widths() {
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    int available = MAX_COLUMNS - GAP.length() * (columns - 1);
    while (Arrays.stream(widths).sum() > available) {
      widths[widest(widths)]--;
    }
    return widths;
  }

  private static int widest(int[] widths) {
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
    for (int y = 0; y < height; y++) {
      var line = new StringBuilder();
      for (int i = 0; i < widths.length; i++) {
        String text = y < cells.get(i).size() ? cells.get(i).get(y) : "";
        line.append(i == 0 ? "" : GAP).append(text);
        line.append(" ".repeat(widths[i] - text.length()));
      }
      lines.add(line.toString().stripTrailing());
    }
  }

  /** Breaks a text at spaces, and within a word that is longer than a line. */
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
