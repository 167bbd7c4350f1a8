package org.gentianslip.standin.relay;

import java.util.Objects;

/**
 * The name of a link, which consists of its two ends in alphabetical order.
 *
 * <p>Immutable.
 *
 * @param first the first end
 * @param second the second end, or empty if the name has one end only
 */
public record LinkName(String first, String second) {

  /**
   * Checks the ends.
   *
   * @throws IllegalArgumentException if the ends are not in order
   */
  public LinkName {
    Objects.requireNonNull(first, "first");
    Objects.requireNonNull(second, "second");
    if (!second.isEmpty() && first.compareTo(second) > 0) {
      throw new IllegalArgumentException("ends are not in order: " + first + ", " + second);
    }
  }

  /** Parses a text such as {@code graz/wien} or {@code local}, with the ends in any order. */
  public static LinkName parse(String text) {
    int slash = text.indexOf('/');
    if (slash < 0) {
      return new LinkName(text, "");
    }
    String from = text.substring(0, slash);
    String to = text.substring(slash + 1);
    return from.compareTo(to) <= 0 ? new LinkName(from, to) : new LinkName(to, from);
  }

  /** Returns whether a text such as {@code graz/wien} starts at the first end of this name. */
  boolean isForward(String text) {
    int slash = text.indexOf('/');
    return first.equals(slash < 0 ? text : text.substring(0, slash));
  }

  @Override
  public String toString() {
    return second.isEmpty() ? first : first + "/" + second;
  }
}
