package org.gentianslip.core.id;

/**
 * Identifies a region.
 *
 * <p>Data residency and caches are bound to a region. Immutable and safe for use by several
 * threads.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /**
   * Checks the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is no valid id
   */
  public RegionId {
    IdText.requireValid("RegionId", value);
  }

  /** Returns the id with the given text. */
  public static RegionId of(String value) {
    return new RegionId(value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
