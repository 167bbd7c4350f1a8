package org.gentianslip.core.id;

/**
 * Identifies an entry instance.
 *
 * <p>The name is stable across restarts at the same place; see {@link Incarnation} for one life of
 * it. Immutable and safe for use by several threads.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /**
   * Checks the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is no valid id
   */
  public InstanceId {
    IdText.requireValid("InstanceId", value);
  }

  /** Returns the id with the given text. */
  public static InstanceId of(String value) {
    return new InstanceId(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
