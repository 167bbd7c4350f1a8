package org.gentianslip.load.work;

import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;

/**
 * The mix of ranks, kinds and operations that the callers of a fleet send.
 *
 * <p>There is always at least one share. Immutable and thread-safe.
 *
 * @param name the name of the fleet
 * @param shares the shares of the mix
 */
public record Workload(String name, List<WorkloadShare> shares) {

  /**
   * Copies the shares and checks that there is one.
   *
   * @throws IllegalArgumentException if {@code shares} is empty
   */
  public Workload {
    shares = List.copyOf(shares);
    if (shares.isEmpty()) {
      throw new IllegalArgumentException(
          "the workload \"" + name + "\" must have at least one share");
    }
  }

  /**
   * Returns the workload of an example fleet.
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

  /** Returns this workload reduced to the shares with the given operations. */
  public Workload only(ActionType... actions) {
    return new Workload(
        name, shares.stream().filter(share -> List.of(actions).contains(share.action())).toList());
  }

  /** Returns the sum of the shares' weights. */
  public double totalWeight() {
    return shares.stream().mapToDouble(WorkloadShare::weight).sum();
  }

  private static Workload qadri() {
    ShareFactory shops =
        new ShareFactory("lahore-shops", "qadri-shops-key", "party-summary", Rank.URGENT);
    ShareFactory drivers =
        new ShareFactory("lahore-drivers", "qadri-drivers-key", "drop-question", Rank.OTHER);
    ShareFactory archive =
        new ShareFactory("north-archive", "qadri-archive-key", "drop-question", Rank.OTHER);
    List<WorkloadShare> shares = new ArrayList<>();
    shares.add(shops.modelShare(ActionType.CHAT_STREAM, "dispatch-summary", 30, 6_000, 40));
    shares.add(shops.modelShare(ActionType.CHAT_WHOLE, "dispatch-summary", 5, 6_000, 40));
    shares.add(drivers.modelShare(ActionType.CHAT_STREAM, "dispatch-short", 30, 400, 16));
    shares.add(drivers.modelShare(ActionType.COMPLETION_STREAM, "dispatch-short", 10, 400, 16));
    shares.add(archive.modelShare(ActionType.CHAT_STREAM, "dispatch-short", 5, 2_000, 16));
    shares.add(shops.serviceShare(ActionType.SERVICE_WRITE, "booking/slots/book", 12));
    shares.add(drivers.serviceShare(ActionType.SERVICE_READ, "booking/slots/search", 8));
    return new Workload("qadri", shares);
  }

  private static Workload venture() {
    ShareFactory shoppers =
        new ShareFactory("shoppers", "venture-shoppers-key", "care-question", Rank.URGENT);
    ShareFactory artisans =
        new ShareFactory("artisans", "venture-artisans-key", "workshop-report", Rank.OTHER);
    ShareFactory guild =
        new ShareFactory("tirol-guild", "venture-guild-key", "workshop-report", Rank.OTHER);
    List<WorkloadShare> shares = new ArrayList<>();
    shares.add(shoppers.modelShare(ActionType.CHAT_STREAM, "gourd-care", 35, 400, 16));
    shares.add(shoppers.modelShare(ActionType.CHAT_WHOLE, "gourd-care", 5, 400, 16));
    shares.add(artisans.modelShare(ActionType.CHAT_STREAM, "gourd-report", 20, 8_000, 60));
    shares.add(artisans.modelShare(ActionType.COMPLETION_STREAM, "gourd-report", 10, 8_000, 60));
    shares.add(guild.modelShare(ActionType.CHAT_STREAM, "gourd-report", 5, 8_000, 60));
    shares.add(shoppers.serviceShare(ActionType.SERVICE_WRITE, "orders/gourds/reserve", 12));
    shares.add(shoppers.serviceShare(ActionType.SERVICE_READ, "orders/stock/search", 13));
    return new Workload("venture", shares);
  }

  /** Creates the shares of one customer. Immutable and thread-safe. */
  private record ShareFactory(String customer, String key, String kind, Rank rank) {

    WorkloadShare modelShare(
        ActionType action, String model, double weight, int sharedCharacters, int maxTokens) {
      return share(action, model, weight, sharedCharacters, maxTokens);
    }

    WorkloadShare serviceShare(ActionType action, String path, double weight) {
      return share(action, path, weight, 0, 0);
    }

    private WorkloadShare share(
        ActionType action, String target, double weight, int sharedCharacters, int maxTokens) {
      return new WorkloadShare(
          CustomerId.of(customer),
          key,
          KindId.of(kind),
          rank,
          action,
          target,
          weight,
          sharedCharacters,
          maxTokens);
    }
  }
}
