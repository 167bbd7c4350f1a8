package org.gentianslip.entry.configservice;

import java.util.List;

/**
 * Names the parts of one revision of the settings.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param revision the revision, greater than 0
 * @param parts the parts
 */
public record SettingsManifest(long revision, List<Part> parts) {

  /**
   * Names one part.
   *
   * @param key its key in the config service
   * @param sha256 the SHA-256 of its bytes in lower-case hexadecimal
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
      throw new IllegalArgumentException("The manifest names no parts");
    }
    parts = List.copyOf(parts);
  }
}
