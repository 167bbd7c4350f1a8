package org.gentianslip.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.gentianslip.settings.BranchLevel;
import org.gentianslip.settings.Customer;
import org.gentianslip.settings.Scope;
import org.gentianslip.settings.Settings;

/**
 * Narrows the scope of a branch to names that are declared.
 *
 * <p>Not safe for use by several threads.
 */
final class ScopeNarrowing {

  private final Settings settings;
  private final List<String> errors = new ArrayList<>();
  private Scope scope;

  ScopeNarrowing(Settings settings, Scope scope) {
    this.settings = settings;
    this.scope = scope;
  }

  /** Narrows the scope to a name; null leaves it as it is. */
  void to(BranchLevel level, String name) {
    if (name == null) {
      return;
    }
    Optional<String> own = scope.name(level);
    if (own.isPresent() && !own.get().equals(name)) {
      errors.add(String.format("The branch is for the %s %s only.", level.jsonName(), own.get()));
      return;
    }
    Set<String> known = known(level);
    if (!known.contains(name)) {
      errors.add(
          String.format(
              "There is no %s \"%s\"; there are %s.",
              level.jsonName(), name, String.join(", ", known)));
      return;
    }
    scope = scope.with(level, name);
  }

  private Set<String> known(BranchLevel level) {
    String firm = scope.name(BranchLevel.FIRM).orElse("");
    var names = new TreeSet<String>();
    switch (level) {
      case FIRM -> names.add(firm);
      case REGION -> settings.regions().forEach(r -> names.add(r.id().value()));
      case KIND -> settings.kinds(firm).forEach(k -> names.add(k.value()));
      default ->
          settings.customers().stream()
              .filter(c -> c.firm().equals(firm))
              .map(Customer::id)
              .forEach(c -> names.add(c.value()));
    }
    return names;
  }

  /** Returns what was wrong with the names. */
  List<String> errors() {
    return errors;
  }

  Scope scope() {
    return scope;
  }
}
