package org.gentianslip.settings;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Describes a set of requests by at most one name for each level.
 *
 * <p>A level without a name stands for any. Immutable and safe for use by several threads.
 */
public final class Scope {

  /** The scope of all requests. */
  public static final Scope ALL = new Scope(new EnumMap<>(BranchLevel.class));

  private final EnumMap<BranchLevel, String> names;

  private Scope(EnumMap<BranchLevel, String> names) {
    this.names = names;
  }

  /** Returns this scope, narrowed to the given name at the given level. */
  public Scope with(BranchLevel level, String name) {
    var narrowed = new EnumMap<>(names);
    narrowed.put(level, name);
    return new Scope(narrowed);
  }

  /** Returns the name at the given level. */
  public Optional<String> name(BranchLevel level) {
    return Optional.ofNullable(names.get(level));
  }

  /** Returns whether every request of the other scope is in this one too. */
  public boolean includes(Scope other) {
    for (Map.Entry<BranchLevel, String> entry : names.entrySet()) {
      if (!entry.getValue().equals(other.names.get(entry.getKey()))) {
        return false;
      }
    }
    return true;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Scope scope && names.equals(scope.names);
  }

  @Override
  public int hashCode() {
    return names.hashCode();
  }

  /** Returns the names, such as {@code "firm qadri, region pk-north"}. */
  @Override
  public String toString() {
    return names.entrySet().stream()
        .map(e -> e.getKey().jsonName() + " " + e.getValue())
        .collect(Collectors.joining(", "));
  }
}
