package org.gentianslip.settings;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A set of requests, described by at most one name for each level.
 *
 * <p>A level without a name matches any. Immutable and safe for use by several threads.
 */
public final class Scope {

  /** The scope of all requests. */
  public static final Scope ALL = new Scope(new String[BranchLevel.values().length]);

  /** The name of each level at its ordinal, or null if any name matches. */
  private final String[] names;

  private Scope(String[] names) {
    this.names = names;
  }

  /** Returns this scope narrowed to one name at a level. */
  public Scope with(BranchLevel level, String name) {
    String[] narrowed = names.clone();
    narrowed[level.ordinal()] = Objects.requireNonNull(name);
    return new Scope(narrowed);
  }

  /** Returns the name at a level, or empty if any name matches. */
  public Optional<String> name(BranchLevel level) {
    return Optional.ofNullable(names[level.ordinal()]);
  }

  /** Returns whether this scope contains every request of another one. */
  public boolean includes(Scope other) {
    for (int i = 0; i < names.length; i++) {
      if (names[i] != null && !names[i].equals(other.names[i])) {
        return false;
      }
    }
    return true;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Scope scope && Arrays.equals(names, scope.names);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(names);
  }

  /** Returns the names, such as {@code "firm qadri, region pk-north"}. */
  @Override
  public String toString() {
    return Arrays.stream(BranchLevel.values())
        .filter(level -> names[level.ordinal()] != null)
        .map(level -> level.jsonName() + " " + names[level.ordinal()])
        .collect(Collectors.joining(", "));
  }
}
