package org.gentianslip.demo.fleet;

import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * The processes of a fleet and their ports.
 *
 * <p>All ports are different; the same plan always gives the same layout. Immutable and
 * thread-safe.
 *
 * @param plan the plan of the fleet
 * @param configPort the port of the config service
 * @param relayPort the port for administrative requests to the relay
 * @param entries the entry instances
 * @param backends the backend servers
 * @param routes the routes of the relay between regions
 */
public record FleetLayout(
    FleetPlan plan,
    int configPort,
    int relayPort,
    List<EntryNode> entries,
    List<BackendNode> backends,
    List<RelayRoute> routes) {

  static final String LOOPBACK = "127.0.0.1";

  /** Returns the layout of a plan. */
  public static FleetLayout of(FleetPlan plan) {
    PortAllocator ports = new PortAllocator(plan.basePort());
    int configPort = ports.allocate();
    int relayPort = ports.allocate();
    List<EntryNode> entries = new ArrayList<>();
    List<BackendNode> backends = new ArrayList<>();
    for (RegionPlan region : plan.regions()) {
      addEntries(region, ports, entries);
      addBackends(region, "engine", true, region.engines(), ports, backends);
      addBackends(region, plan.service(), false, region.services(), ports, backends);
    }
    return new FleetLayout(
        plan,
        configPort,
        relayPort,
        List.copyOf(entries),
        List.copyOf(backends),
        routes(plan, entries, ports));
  }

  /**
   * Returns the port through which a region reaches the peer port of an instance: that of the relay
   * for other regions, or that of the instance itself.
   */
  int peerPortFrom(RegionId from, EntryNode entry) {
    for (RelayRoute route : routes) {
      if (route.from().equals(from) && route.instance().equals(entry.id())) {
        return route.listenPort();
      }
    }
    return entry.peerPort();
  }

  private static void addEntries(RegionPlan region, PortAllocator ports, List<EntryNode> entries) {
    for (int i = 1; i <= region.entries(); i++) {
      InstanceId id = InstanceId.of(region.id() + "-" + i);
      entries.add(
          new EntryNode(id, region.id(), ports.allocate(), ports.allocate(), ports.allocate()));
    }
  }

  private static void addBackends(
      RegionPlan region,
      String name,
      boolean modelEngine,
      int count,
      PortAllocator ports,
      List<BackendNode> backends) {
    for (int i = 1; i <= count; i++) {
      String id = region.id() + "-" + name + "-" + i;
      backends.add(new BackendNode(id, region.id(), modelEngine, ports.allocate()));
    }
  }

  private static List<RelayRoute> routes(
      FleetPlan plan, List<EntryNode> entries, PortAllocator ports) {
    List<RelayRoute> routes = new ArrayList<>();
    for (RegionPlan from : plan.regions()) {
      for (EntryNode entry : entries) {
        if (entry.region().equals(from.id())) {
          continue;
        }
        routes.add(
            new RelayRoute(
                from.id(), entry.region(), entry.id(), ports.allocate(), entry.peerPort()));
      }
    }
    return List.copyOf(routes);
  }

  /** Allocates consecutive ports. Not thread-safe. */
  private static final class PortAllocator {
    private int next;

    PortAllocator(int first) {
      next = first;
    }

    int allocate() {
      return next++;
    }
  }
}
