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
 * Finds names that are declared twice or not at all.
 *
 * <p>Used by one thread.
 */
final class ReferenceChecker {

  private final SettingsContent content;
  private final FindingCollector findings;

  ReferenceChecker(SettingsContent content, FindingCollector findings) {
    this.content = content;
    this.findings = findings;
  }

  /** Finds what is declared more than once. */
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
      String what, String member, List<Located<T>> items, Function<T, ?> key) {
    var first = new HashMap<Object, Place>();
    for (Located<T> item : items) {
      Object id = key.apply(item.value());
      Place other = first.putIfAbsent(id, item.place());
      if (other != null) {
        Place place = member.isEmpty() ? item.place() : item.place().at(member);
        findings.add(place, "The " + what + " " + id + " must be unique, but is also at " + other);
      }
    }
  }

  private void findDuplicateKeys() {
    var first = new HashMap<String, Customer>();
    for (Located<Customer> customer : content.customers) {
      String key = customer.value().keySha256();
      Customer other = key.isEmpty() ? null : first.putIfAbsent(key, customer.value());
      if (other != null && !other.id().equals(customer.value().id())) {
        findings.add(
            customer.place().at("keySha256"),
            "The key must be the customer's own, but " + other.id() + " has the same");
      }
    }
  }

  private void findSharedDataCentres() {
    var first = new HashMap<DataCentreId, RegionId>();
    for (Located<Region> region : content.regions) {
      for (DataCentreId dataCentre : region.value().dataCentres()) {
        RegionId other = first.putIfAbsent(dataCentre, region.value().id());
        if (other != null) {
          findings.add(
              region.place().at("dataCentres"),
              "The data centre " + dataCentre + " must be in one region, but is also in " + other);
        }
      }
    }
  }

  /** Finds references to what no document declares. */
  void findUnknown() {
    var regions = new TreeSet<String>();
    content.regions.forEach(r -> regions.add(r.value().id().value()));
    for (Located<RegionLink> link : content.links) {
      requireKnown("region", link.value().first().value(), regions, link.place().at("between"));
      requireKnown("region", link.value().second().value(), regions, link.place().at("between"));
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
        requireKnown("firm", firm, firms, customer.place().at("firm"));
      }
    }
    var customers = new TreeSet<String>();
    content.customers.forEach(c -> customers.add(c.value().id().value()));
    content.branches.forEach(b -> findUnknownIn(b, regions, customers));
  }

  private void findUnknownIn(BranchDeclaration branch, Set<String> regions, Set<String> customers) {
    Place name = branch.place().at("name");
    if (branch.level() == BranchLevel.REGION) {
      requireKnown("region", branch.name(), regions, name);
    } else if (branch.level() == BranchLevel.CUSTOMER) {
      requireKnown("customer", branch.name(), customers, name);
    }
    Located<Object> allowed = branch.values().get(SettingCatalog.ALLOWED_REGIONS);
    if (allowed != null) {
      for (Object region : (Set<?>) allowed.value()) {
        requireKnown("region", region.toString(), regions, allowed.place());
      }
    }
  }

  private void requireKnown(String what, String name, Set<String> known, Place place) {
    if (!known.contains(name)) {
      findings.addUnknown(place, what, name, known);
    }
  }

  /** Finds branches of customers that belong to another firm than the branch. */
  void findForeignCustomers(List<BranchNode> tree) {
    Map<String, String> firms =
        content.customers.stream()
            .collect(
                Collectors.toMap(
                    c -> c.value().id().value(), c -> c.value().firm(), (first, second) -> first));
    for (BranchNode node : tree) {
      String firm = firms.get(node.declaration().name());
      String own = node.scope().name(BranchLevel.FIRM).orElse("");
      if (node.level() == BranchLevel.CUSTOMER
          && firm != null
          && !firm.isEmpty()
          && !firm.equals(own)) {
        findings.add(
            node.declaration().place().at("name"),
            String.format(
                "The customer %s must be of the firm %s, but is of %s",
                node.declaration().name(), own, firm));
      }
    }
  }
}
