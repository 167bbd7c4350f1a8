package org.gentianslip.standin.relay;

import java.util.Objects;

/**
 * Names a link by its two ends, whatever their order.
 *
 * <p>Immutable. {@code first} does not come after {@code second}.
 *
 * @param first an end
 * @param second the other end, which may be empty
 */
public record LinkName(String first, String second) {

  /**
   * Checks the ends.
   *
   * @throws IllegalArgumentException if they are not in order
   */
  public LinkName {
    Objects.requireNonNull(first, "first");
    Objects.requireNonNull(second, "second");
    if (!second.isEmpty() && first.compareTo(second) > 0) {
      throw new IllegalArgumentException("ends are not in order: " + first + ", " + second);
    }
  }

  /** Returns the name that a text such as {@code graz/wien} or {@code local} stands for. */
  public static LinkName parse(String text) {
    int slash = text.indexOf('/');
    if (slash < 0) {
      return new LinkName(text, "");
    }
    String from = text.substring(0, slash);
    String to = text.substring(slash + 1);
    return from.compareTo(to) <= 0 ? new LinkName(from, to) : new LinkName(to, from);
  }

  /** Returns whether a text such as {@code graz/wien} begins with the first end. */
  boolean isForward(String text) {
    int slash = text.indexOf('/');
    return first.equals(slash < 0 ? text : text.substring(0, slash));
  }

  @Override
  public String toString() {
    return second.isEmpty() ? first : first + "/" + second;
  }
}
