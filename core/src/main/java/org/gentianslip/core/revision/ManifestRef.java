package org.gentianslip.core.revision;

import java.util.Objects;
import org.gentianslip.core.id.Revision;

/**
 * A reference to one published state of the settings.
 *
 * <p>References are totally ordered by revision, then by hash. All instances that know the same
 * states therefore prefer the same one. Immutable and thread-safe.
 *
 * @param revision the revision in the manifest
 * @param sha256 the SHA-256 hash of the manifest, which covers the hashes of all parts, in
 *     hexadecimal digits
 */
public record ManifestRef(Revision revision, String sha256) implements Comparable<ManifestRef> {

  /** The reference to the state before the first published one. */
  public static final ManifestRef NONE = new ManifestRef(Revision.NONE, "");

  /** Validates the components. */
  public ManifestRef {
    Objects.requireNonNull(revision);
    Objects.requireNonNull(sha256);
  }

  /** Returns whether this state is later than the other. */
  public boolean isAfter(ManifestRef other) {
    return compareTo(other) > 0;
  }

  /** Returns whether both states have the same revision but different contents. */
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
