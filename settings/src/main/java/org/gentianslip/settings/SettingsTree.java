package org.gentianslip.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.Revision;
import org.gentianslip.core.id.ServiceId;

/**
 * Holds a valid state of the settings with all values in force computed beforehand.
 *
 * <p>{@link #effective(CustomerId, RegionId, KindId)} allocates nothing. Immutable and safe for use
 * by several threads.
 */
final class SettingsTree implements Settings {

  private final Revision revision;
  private final List<Region> regions;
  private final List<RegionLink> links;
  private final Set<ModelId> models;
  private final Map<ServiceId, Service> services;
  private final Map<CustomerId, Customer> customers = new LinkedHashMap<>();
  private final Map<String, Customer> customersByKey;
  private final Map<CustomerId, EffectiveTable> tables;
  private final Map<String, Set<KindId>> kinds;
  private final InstanceValues instances;
  private final List<Branch> branches;
  private final BranchSelector selector;
  private final Set<RegionId> regionIds;

  /** Copies what the documents declare; it must be free of faults. */
  SettingsTree(
      Revision revision,
      SettingsContent content,
      List<BranchNode> tree,
      BranchSelector selector,
      Set<RegionId> regionIds,
      Map<CustomerId, EffectiveTable> tables,
      Map<String, Set<KindId>> kinds,
      InstanceValues instances) {
    this.revision = revision;
    this.regions = values(content.regions);
    this.links = values(content.links);
    this.models = Collections.unmodifiableSet(new LinkedHashSet<>(values(content.models)));
    this.services = new LinkedHashMap<>();
    this.customersByKey = new LinkedHashMap<>();
    this.tables = Map.copyOf(tables);
    this.kinds = Map.copyOf(kinds);
    this.instances = instances;
    this.branches = tree.stream().map(BranchNode::toBranch).toList();
    this.selector = selector;
    this.regionIds = regionIds;
    for (Service service : values(content.services)) {
      services.put(service.id(), service);
    }
    for (Customer customer : values(content.customers)) {
      customers.put(customer.id(), customer);
      customersByKey.put(customer.keySha256(), customer);
    }
  }

  private static <T> List<T> values(List<Located<T>> items) {
    return items.stream().map(Located::value).toList();
  }

  @Override
  public Revision revision() {
    return revision;
  }

  @Override
  public List<Region> regions() {
    return regions;
  }

  @Override
  public List<RegionLink> links() {
    return links;
  }

  @Override
  public Set<ModelId> models() {
    return models;
  }

  @Override
  public List<Service> services() {
    return List.copyOf(services.values());
  }

  @Override
  public Optional<Service> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  @Override
  public List<Customer> customers() {
    return List.copyOf(customers.values());
  }

  @Override
  public Optional<Customer> customer(CustomerId id) {
    return Optional.ofNullable(customers.get(id));
  }

  @Override
  public Optional<Customer> customerByKeyHash(String keySha256) {
    return Optional.ofNullable(customersByKey.get(keySha256));
  }

  @Override
  public Set<KindId> kinds(String firm) {
    return Collections.unmodifiableSet(kinds.getOrDefault(firm, Set.of()));
  }

  @Override
  public boolean declaresKind(Customer customer, KindId kind) {
    return kinds.getOrDefault(customer.firm(), Set.of()).contains(kind);
  }

  @Override
  public EffectiveSettings effective(CustomerId customer, RegionId region, KindId kind) {
    EffectiveTable table = tables.get(customer);
    if (table == null) {
      throw new IllegalArgumentException("The customer is not known: " + customer);
    }
    return table.find(region, kind);
  }

  @Override
  public EffectiveSettings effective(Scope scope) {
    return ResolvedValues.of(selector.select(scope), regionIds);
  }

  @Override
  public EffectiveSettings effectiveForInstance(RegionId region) {
    return instances.find(region);
  }

  @Override
  public List<Branch> branches() {
    return branches;
  }

  @Override
  public Optional<Branch> branch(String id) {
    return branches.stream().filter(b -> b.id().equals(id)).findFirst();
  }
}
