package org.gentianslip.load.work;

import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;

/**
 * The mix of ranks, kinds and actions that the callers of a fleet send.
 *
 * <p>Invariant: there is at least one share. Immutable and safe for use by several threads.
 *
 * @param name the fleet's name
 * @param shares the parts of the mix
 */
public record Workload(String name, List<WorkShare> shares) {

  /**
   * Copies the shares.
   *
   * @throws IllegalArgumentException if {@code shares} is empty
   */
  public Workload {
    shares = List.copyOf(shares);
    if (shares.isEmpty()) {
      throw new IllegalArgumentException("the workload \"" + name + "\" must have a share");
    }
  }

  /**
   * Returns the mix of a fleet.
   *
   * @throws IllegalArgumentException if there is no fleet of that name
   */
  public static Workload named(String name) {
    return switch (name) {
      case "qadri" -> qadri();
      case "venture" -> venture();
      default ->
          throw new IllegalArgumentException(
              "fleet must be \"qadri\" or \"venture\", but is \"" + name + "\"");
    };
  }

  /** Returns this mix with only the shares of the given action types. */
  public Workload only(ActionType... actions) {
    return new Workload(
        name, shares.stream().filter(s -> List.of(actions).contains(s.action())).toList());
  }

  /** Returns the sum of the shares' weights. */
  public double totalWeight() {
    return shares.stream().mapToDouble(WorkShare::weight).sum();
  }

  private static Workload qadri() {
    Mixer shops = new Mixer("lahore-shops", "qadri-shops-key", "party-summary", Rank.URGENT);
    Mixer drivers = new Mixer("lahore-drivers", "qadri-drivers-key", "drop-question", Rank.OTHER);
    Mixer archive = new Mixer("north-archive", "qadri-archive-key", "drop-question", Rank.OTHER);
    List<WorkShare> shares = new ArrayList<>();
    shares.add(shops.model(ActionType.CHAT_STREAM, "dispatch-summary", 30, 6_000, 40));
    shares.add(shops.model(ActionType.CHAT_WHOLE, "dispatch-summary", 5, 6_000, 40));
    shares.add(drivers.model(ActionType.CHAT_STREAM, "dispatch-short", 30, 400, 16));
    shares.add(drivers.model(ActionType.COMPLETION_STREAM, "dispatch-short", 10, 400, 16));
    shares.add(archive.model(ActionType.CHAT_STREAM, "dispatch-short", 5, 2_000, 16));
    shares.add(shops.service(ActionType.SERVICE_WRITE, "booking/slots/book", 12));
    shares.add(drivers.service(ActionType.SERVICE_READ, "booking/slots/search", 8));
    return new Workload("qadri", shares);
  }

  private static Workload venture() {
    Mixer shoppers = new Mixer("shoppers", "venture-shoppers-key", "care-question", Rank.URGENT);
    Mixer artisans = new Mixer("artisans", "venture-artisans-key", "workshop-report", Rank.OTHER);
    Mixer guild = new Mixer("tirol-guild", "venture-guild-key", "workshop-report", Rank.OTHER);
    List<WorkShare> shares = new ArrayList<>();
    shares.add(shoppers.model(ActionType.CHAT_STREAM, "gourd-care", 35, 400, 16));
    shares.add(shoppers.model(ActionType.CHAT_WHOLE, "gourd-care", 5, 400, 16));
    shares.add(artisans.model(ActionType.CHAT_STREAM, "gourd-report", 20, 8_000, 60));
    shares.add(artisans.model(ActionType.COMPLETION_STREAM, "gourd-report", 10, 8_000, 60));
    shares.add(guild.model(ActionType.CHAT_STREAM, "gourd-report", 5, 8_000, 60));
    shares.add(shoppers.service(ActionType.SERVICE_WRITE, "orders/gourds/reserve", 12));
    shares.add(shoppers.service(ActionType.SERVICE_READ, "orders/stock/search", 13));
    return new Workload("venture", shares);
  }

  /** Makes the shares of one customer. Immutable and safe for use by several threads. */
  private record Mixer(String customer, String key, String kind, Rank rank) {

    WorkShare model(ActionType action, String model, double weight, int shared, int maxTokens) {
      return share(action, model, weight, shared, maxTokens);
    }

    WorkShare service(ActionType action, String path, double weight) {
      return share(action, path, weight, 0, 0);
    }

    private WorkShare share(
        ActionType action, String target, double weight, int shared, int maxTokens) {
      return new WorkShare(
          CustomerId.of(customer),
          key,
          KindId.of(kind),
          rank,
          action,
          target,
          weight,
          shared,
          maxTokens);
    }
  }
}
