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
 * Valid settings with precomputed values in force.
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
  private final Map<CustomerId, EffectiveTable> tablesByCustomer;
  private final Map<String, Set<KindId>> kindsByFirm;
  private final InstanceValues instanceValues;
  private final List<Branch> branches;
  private final BranchSelector selector;
  private final Set<RegionId> regionIds;

  /** Copies the declarations, which must be valid. */
  SettingsTree(
      Revision revision,
      SettingsContent content,
      List<BranchNode> tree,
      BranchSelector selector,
      Set<RegionId> regionIds,
      Map<CustomerId, EffectiveTable> tablesByCustomer,
      Map<String, Set<KindId>> kindsByFirm,
      InstanceValues instanceValues) {
    this.revision = revision;
    this.regions = valuesOf(content.regions);
    this.links = valuesOf(content.links);
    this.models = Collections.unmodifiableSet(new LinkedHashSet<>(valuesOf(content.models)));
    this.services = new LinkedHashMap<>();
    this.customersByKey = new LinkedHashMap<>();
    this.tablesByCustomer = Map.copyOf(tablesByCustomer);
    this.kindsByFirm = Map.copyOf(kindsByFirm);
    this.instanceValues = instanceValues;
    this.branches = tree.stream().map(BranchNode::toBranch).toList();
    this.selector = selector;
    this.regionIds = regionIds;
    for (Service service : valuesOf(content.services)) {
      services.put(service.id(), service);
    }
    for (Customer customer : valuesOf(content.customers)) {
      customers.put(customer.id(), customer);
      customersByKey.put(customer.keySha256(), customer);
    }
  }

  private static <T> List<T> valuesOf(List<Located<T>> items) {
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
    return Collections.unmodifiableSet(kindsByFirm.getOrDefault(firm, Set.of()));
  }

  @Override
  public boolean declaresKind(Customer customer, KindId kind) {
    return kindsByFirm.getOrDefault(customer.firm(), Set.of()).contains(kind);
  }

  @Override
  public EffectiveSettings effective(CustomerId customer, RegionId region, KindId kind) {
    EffectiveTable table = tablesByCustomer.get(customer);
    if (table == null) {
      throw new IllegalArgumentException("The customer is not declared: " + customer);
    }
    return table.find(region, kind);
  }

  @Override
  public EffectiveSettings effective(Scope scope) {
    return ResolvedValues.of(selector.select(scope), regionIds);
  }

  @Override
  public EffectiveSettings effectiveForInstance(RegionId region) {
    return instanceValues.find(region);
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
