package org.gentianslip.settings;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.Revision;
import org.gentianslip.core.id.ServiceId;

/**
 * One accepted revision of the settings.
 *
 * <p>All declarations and values are valid. Implementations are immutable and safe for use by
 * several threads.
 */
public interface Settings {

  /** Returns the revision. */
  Revision revision();

  /** Returns the regions. */
  List<Region> regions();

  /** Returns the links between regions. */
  List<RegionLink> links();

  /** Returns the models that callers may request. */
  Set<ModelId> models();

  /** Returns the services. */
  List<Service> services();

  /** Returns the service with the given id. */
  Optional<Service> service(ServiceId id);

  /** Returns the customers. */
  List<Customer> customers();

  /** Returns the customer with the given id. */
  Optional<Customer> customer(CustomerId id);

  /** Returns the customer whose key has the given SHA-256, in lower-case hexadecimal. */
  Optional<Customer> customerByKeyHash(String keySha256);

  /** Returns the kinds of work that branches of the firm name. */
  Set<KindId> kinds(String firm);

  /** Returns whether a branch of the customer's firm names the kind of work. */
  boolean declaresKind(Customer customer, KindId kind);

  /**
   * Returns the values in force for a request.
   *
   * @param region the region of the instance that received the request
   * @throws IllegalArgumentException if the customer is not declared
   */
  EffectiveSettings effective(CustomerId customer, RegionId region, KindId kind);

  /**
   * Returns the values in force for every request of a scope.
   *
   * <p>They are computed on each call, which is meant for reports and too slow for the request
   * path.
   */
  EffectiveSettings effective(Scope scope);

  /**
   * Returns the values that apply to a whole instance.
   *
   * <p>Settings of any other granularity have their defaults.
   *
   * @param region the region of the instance
   * @see SettingGranularity#INSTANCE
   */
  EffectiveSettings effectiveForInstance(RegionId region);

  /** Returns the branches. */
  List<Branch> branches();

  /** Returns the branch with the given id. */
  Optional<Branch> branch(String id);
}
