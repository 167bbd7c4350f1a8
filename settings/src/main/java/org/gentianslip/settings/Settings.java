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
 * Holds one accepted revision of the settings.
 *
 * <p>It is valid as a whole. Implementations are immutable and safe for use by several threads.
 */
public interface Settings {

  /** Returns the revision. */
  Revision revision();

  /** Returns the regions. */
  List<Region> regions();

  /** Returns the links between regions. */
  List<RegionLink> links();

  /** Returns the models that callers may name. */
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

  /** Returns the kinds of work that some branch of the firm names. */
  Set<KindId> kinds(String firm);

  /** Returns whether some branch names the kind of work for the customer's firm. */
  boolean declaresKind(Customer customer, KindId kind);

  /**
   * Returns the values in force.
   *
   * @throws IllegalArgumentException if the customer is not known
   */
  EffectiveSettings effective(CustomerId customer, RegionId region, KindId kind);

  /**
   * Returns the values in force for every request of a scope.
   *
   * <p>It is computed anew and meant for reports, not for the path of a request.
   */
  EffectiveSettings effective(Scope scope);

  /**
   * Returns the values that hold for a whole instance.
   *
   * <p>Settings that may differ between requests have their defaults in it.
   *
   * @param region the region of the instance
   * @see SettingReach#INSTANCE
   */
  EffectiveSettings effectiveForInstance(RegionId region);

  /** Returns the branches. */
  List<Branch> branches();

  /** Returns the branch with the given id. */
  Optional<Branch> branch(String id);
}
