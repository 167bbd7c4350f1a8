package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.membership.RendezvousHash;

/**
 * The order in which the instances of a data centre act as its relay.
 *
 * <p>Instances with equal views have equal orders, without any agreement. Instances that are ready
 * come before others, then larger ones, whatever their present load, so that load does not move the
 * relay; the rest follows a hash, so that the relays of different data centres are spread over the
 * instances. Stateless and thread-safe.
 */
final class RelayOrder {

  private RelayOrder() {}

  /**
   * Returns the instances of a data centre that are not leaving, the relay first.
   *
   * @param instances the live instances of all data centres
   * @param suspected accepts the instances that did not answer recently; they come last
   */
  static List<PeerRecord> of(
      DataCentreId dataCentre, Collection<PeerRecord> instances, Predicate<InstanceId> suspected) {
    List<PeerRecord> members = new ArrayList<>();
    for (PeerRecord p : instances) {
      if (p.dataCentre().equals(dataCentre) && !p.leaving()) {
        members.add(p);
      }
    }
    members.sort(
        Comparator.comparing((PeerRecord p) -> suspected.test(p.id()))
            .thenComparing(p -> !p.ready())
            .thenComparing(p -> -p.size())
            .thenComparing(p -> RendezvousHash.hash(dataCentre.value(), p.id().value())));
    return members;
  }
}
