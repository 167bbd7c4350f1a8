package org.gentianslip.core.revision;

import java.util.Objects;
import org.gentianslip.core.id.Revision;

/**
 * Names one published state of the settings.
 *
 * <p>The order is total: first by the revision, then by the hash. It is the same everywhere, so all
 * instances that know the same states prefer the same one. Immutable and safe for use by several
 * threads.
 *
 * @param revision the number that the manifest gives
 * @param sha256 the hash of the manifest and so of all its parts, in hexadecimal digits
 */
public record ManifestRef(Revision revision, String sha256) implements Comparable<ManifestRef> {

  /** The state before the first published one. */
  public static final ManifestRef NONE = new ManifestRef(Revision.NONE, "");

  /** Checks the parts. */
  public ManifestRef {
    Objects.requireNonNull(revision);
    Objects.requireNonNull(sha256);
  }

  /** Returns whether this state is later than the other. */
  public boolean isAfter(ManifestRef other) {
    return compareTo(other) > 0;
  }

  /** Returns whether both states claim the same revision with different contents. */
  public boolean conflictsWith(ManifestRef other) {
    return revision.equals(other.revision) && !sha256.equals(other.sha256);
  }

  @Override
  public int compareTo(ManifestRef other) {
    int byRevision = revision.compareTo(other.revision);
    return byRevision != 0 ? byRevision : sha256.compareTo(other.sha256);
  }

  @Override
  public String toString() {
    return revision + "/" + sha256;
  }
}
