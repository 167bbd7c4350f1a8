package org.gentianslip.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.RegionId;

/**
 * Reports names that are declared more than once, or referenced but not declared.
 *
 * <p>Confined to one thread.
 */
final class ReferenceChecker {

  private final SettingsContent content;
  private final FindingCollector findings;

  ReferenceChecker(SettingsContent content, FindingCollector findings) {
    this.content = content;
    this.findings = findings;
  }

  /** Reports duplicate declarations. */
  void findDuplicates() {
    findDuplicates("region id", "id", content.regions, Region::id);
    findDuplicates("link", "between", content.links, l -> Set.of(l.first(), l.second()));
    findDuplicates("model", "", content.models, Function.identity());
    findDuplicates("service id", "id", content.services, Service::id);
    findDuplicates("customer id", "id", content.customers, Customer::id);
    findDuplicateKeys();
    findSharedDataCentres();
  }

  private <T> void findDuplicates(
      String type, String member, List<Located<T>> items, Function<T, ?> key) {
    var locationsById = new HashMap<Object, Location>();
    for (Located<T> item : items) {
      Object id = key.apply(item.value());
      Location other = locationsById.putIfAbsent(id, item.location());
      if (other != null) {
        Location location = member.isEmpty() ? item.location() : item.location().at(member);
        findings.add(
            location, "The " + type + " " + id + " must be unique, but is also at " + other);
      }
    }
  }

  private void findDuplicateKeys() {
    var customersByKey = new HashMap<String, Customer>();
    for (Located<Customer> customer : content.customers) {
      String key = customer.value().keySha256();
      Customer other = key.isEmpty() ? null : customersByKey.putIfAbsent(key, customer.value());
      if (other != null && !other.id().equals(customer.value().id())) {
        findings.add(
            customer.location().at("keySha256"),
            "The key must be unique to the customer, but " + other.id() + " has the same");
      }
    }
  }

  private void findSharedDataCentres() {
    var regionsByDataCentre = new HashMap<DataCentreId, RegionId>();
    for (Located<Region> region : content.regions) {
      for (DataCentreId dataCentre : region.value().dataCentres()) {
        RegionId other = regionsByDataCentre.putIfAbsent(dataCentre, region.value().id());
        if (other != null) {
          findings.add(
              region.location().at("dataCentres"),
              "The data centre " + dataCentre + " must be in one region, but is also in " + other);
        }
      }
    }
  }

  /** Reports references to undeclared names. */
  void findUnknown() {
    var regions = new TreeSet<String>();
    content.regions.forEach(r -> regions.add(r.value().id().value()));
    for (Located<RegionLink> link : content.links) {
      requireKnown("region", link.value().first().value(), regions, link.location().at("between"));
      requireKnown("region", link.value().second().value(), regions, link.location().at("between"));
    }
    Set<String> firms =
        content.branches.stream()
            .filter(b -> b.level() == BranchLevel.FIRM)
            .map(BranchDeclaration::name)
            .collect(Collectors.toCollection(TreeSet::new));
    firms.addAll(content.faultyBranches);
    for (Located<Customer> customer : content.customers) {
      String firm = customer.value().firm();
      if (!firm.isEmpty()) {
        requireKnown("firm", firm, firms, customer.location().at("firm"));
      }
    }
    var customers = new TreeSet<String>();
    content.customers.forEach(c -> customers.add(c.value().id().value()));
    content.branches.forEach(b -> findUnknownReferences(b, regions, customers));
  }

  private void findUnknownReferences(
      BranchDeclaration branch, Set<String> regions, Set<String> customers) {
    Location name = branch.location().at("name");
    if (branch.level() == BranchLevel.REGION) {
      requireKnown("region", branch.name(), regions, name);
    } else if (branch.level() == BranchLevel.CUSTOMER) {
      requireKnown("customer", branch.name(), customers, name);
    }
    Located<Object> allowed = branch.values().get(SettingCatalog.ALLOWED_REGIONS);
    if (allowed != null) {
      for (Object region : (Set<?>) allowed.value()) {
        requireKnown("region", region.toString(), regions, allowed.location());
      }
    }
  }

  private void requireKnown(String type, String name, Set<String> known, Location location) {
    if (!known.contains(name)) {
      findings.addUnknown(location, type, name, known);
    }
  }

  /** Reports branches of customers that belong to another firm than the branch. */
  void findCustomersOfOtherFirms(List<BranchNode> tree) {
    Map<String, String> firmsByCustomer =
        content.customers.stream()
            .collect(
                Collectors.toMap(
                    c -> c.value().id().value(), c -> c.value().firm(), (first, second) -> first));
    for (BranchNode node : tree) {
      String firm = firmsByCustomer.get(node.declaration().name());
      String branchFirm = node.scope().name(BranchLevel.FIRM).orElse("");
      if (node.level() == BranchLevel.CUSTOMER
          && firm != null
          && !firm.isEmpty()
          && !firm.equals(branchFirm)) {
        findings.add(
            node.declaration().location().at("name"),
            String.format(
                "The customer %s must be of the firm %s, but is of %s",
                node.declaration().name(), branchFirm, firm));
      }
    }
  }
}
