package org.gentianslip.entry.configservice;

import java.util.List;

/**
 * The manifest of one revision of the settings, which names its parts.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param revision the number of the revision, which is positive
 * @param parts the parts
 */
public record SettingsManifest(long revision, List<Part> parts) {

  /**
   * A reference to one part.
   *
   * @param key the key of the part in the config service
   * @param sha256 the SHA-256 hash of the part, in lower-case hexadecimal
   */
  public record Part(String key, String sha256) {}

  /**
   * Checks the revision and copies the list.
   *
   * @throws IllegalArgumentException if the revision is not positive or there are no parts
   */
  public SettingsManifest {
    if (revision <= 0) {
      throw new IllegalArgumentException("The revision must be positive, but is " + revision);
    }
    if (parts == null || parts.isEmpty()) {
      throw new IllegalArgumentException(
          "The manifest must name at least one part, but names none");
    }
    parts = List.copyOf(parts);
  }
}
