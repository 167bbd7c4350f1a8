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
 * Narrows the scope of a branch to declared names and collects errors.
 *
 * <p>Not safe for use by several threads.
 */
final class ScopeNarrower {

  private final Settings settings;
  private final List<String> errors = new ArrayList<>();
  private Scope scope;

  ScopeNarrower(Settings settings, Scope scope) {
    this.settings = settings;
    this.scope = scope;
  }

  /** Narrows the scope to a name at a level; null leaves the scope unchanged. */
  void narrow(BranchLevel level, String name) {
    if (name == null) {
      return;
    }
    Optional<String> existing = scope.name(level);
    if (existing.isPresent() && !existing.get().equals(name)) {
      errors.add(
          String.format("The branch is for the %s %s only.", level.jsonName(), existing.get()));
      return;
    }
    Set<String> declared = declaredNames(level);
    if (!declared.contains(name)) {
      errors.add(
          String.format(
              "There is no %s \"%s\"; there are %s.",
              level.jsonName(), name, String.join(", ", declared)));
      return;
    }
    scope = scope.with(level, name);
  }

  private Set<String> declaredNames(BranchLevel level) {
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

  /** Returns a sentence for each rejected name. */
  List<String> errors() {
    return errors;
  }

  Scope scope() {
    return scope;
  }
}
