package org.gentianslip.demo.fleet;

import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * The processes of a fleet and their ports.
 *
 * <p>No two ports are equal; the same plan gives the same layout. Immutable and safe for use by
 * several threads.
 *
 * @param plan what the fleet consists of
 * @param configPort the config service's port
 * @param relayPort the port by which the relay is told what to do
 * @param entries the entry instances
 * @param backends the backend servers
 * @param routes the relay's ports between regions
 */
public record FleetLayout(
    FleetPlan plan,
    int configPort,
    int relayPort,
    List<EntryNode> entries,
    List<BackendNode> backends,
    List<PeerRoute> routes) {

  static final String LOOPBACK = "127.0.0.1";

  /** Returns the layout of a plan. */
  public static FleetLayout of(FleetPlan plan) {
    Ports ports = new Ports(plan.basePort());
    int configPort = ports.take();
    int relayPort = ports.take();
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

  /** Returns the port by which a region reaches an instance's peer port. */
  int peerPortFrom(RegionId from, EntryNode entry) {
    for (PeerRoute route : routes) {
      if (route.from().equals(from) && route.instance().equals(entry.id())) {
        return route.listenPort();
      }
    }
    return entry.peerPort();
  }

  private static void addEntries(RegionPlan region, Ports ports, List<EntryNode> entries) {
    for (int i = 1; i <= region.entries(); i++) {
      InstanceId id = InstanceId.of(region.id() + "-" + i);
      entries.add(new EntryNode(id, region.id(), ports.take(), ports.take(), ports.take()));
    }
  }

  private static void addBackends(
      RegionPlan region,
      String name,
      boolean model,
      int count,
      Ports ports,
      List<BackendNode> backends) {
    for (int i = 1; i <= count; i++) {
      String id = region.id() + "-" + name + "-" + i;
      backends.add(new BackendNode(id, region.id(), model, ports.take()));
    }
  }

  private static List<PeerRoute> routes(FleetPlan plan, List<EntryNode> entries, Ports ports) {
    List<PeerRoute> routes = new ArrayList<>();
    for (RegionPlan from : plan.regions()) {
      for (EntryNode entry : entries) {
        if (entry.region().equals(from.id())) {
          continue;
        }
        routes.add(
            new PeerRoute(from.id(), entry.region(), entry.id(), ports.take(), entry.peerPort()));
      }
    }
    return List.copyOf(routes);
  }

  /** Hands out ports in order. Used by one thread. */
  private static final class Ports {
    private int next;

    Ports(int first) {
      next = first;
    }

    int take() {
      return next++;
    }
  }
}
