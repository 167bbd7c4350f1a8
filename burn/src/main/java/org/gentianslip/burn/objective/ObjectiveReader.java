package org.gentianslip.burn.objective;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.settings.Customer;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.Region;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;

/**
 * Derives the service-level objectives from the settings.
 *
 * <p>If several kinds or customers share a metric, the strictest of their objectives applies.
 * Stateless and thread-safe.
 */
public final class ObjectiveReader {

  private ObjectiveReader() {}

  /** Returns the objectives for ranks in regions, followed by those for customers. */
  public static List<Objective> read(Settings settings) {
    List<Objective> objectives = new ArrayList<>();
    for (Region region : settings.regions()) {
      Map<Rank, Strictest> byRank = new EnumMap<>(Rank.class);
      for (Customer customer : settings.customers()) {
        for (KindId kind : settings.kinds(customer.firm())) {
          EffectiveSettings values = settings.effective(customer.id(), region.id(), kind);
          byRank
              .computeIfAbsent(values.get(SettingCatalog.RANK), r -> new Strictest())
              .include(values);
        }
      }
      byRank.forEach((rank, strictest) -> strictest.addObjectivesTo(objectives, rank, region.id()));
    }
    settings.customers().forEach(customer -> objectives.add(forCustomer(settings, customer)));
    return List.copyOf(objectives);
  }

  private static Objective forCustomer(Settings settings, Customer customer) {
    Strictest strictest = new Strictest();
    for (Region region : settings.regions()) {
      for (KindId kind : settings.kinds(customer.firm())) {
        strictest.include(settings.effective(customer.id(), region.id(), kind));
      }
    }
    return Objective.forCustomer(customer.id(), strictest.availability);
  }

  /** The strictest values of several objectives. Not thread-safe. */
  private static final class Strictest {
    private double availability;
    private double firstToken;
    private Duration target = Duration.ofDays(1);

    void include(EffectiveSettings values) {
      availability =
          Math.max(availability, values.get(SettingCatalog.OBJECTIVE_AVAILABILITY_SHARE));
      firstToken = Math.max(firstToken, values.get(SettingCatalog.OBJECTIVE_FIRST_TOKEN_SHARE));
      Duration candidate = values.get(SettingCatalog.FIRST_TOKEN_TARGET);
      target = candidate.compareTo(target) < 0 ? candidate : target;
    }

    void addObjectivesTo(List<Objective> objectives, Rank rank, RegionId region) {
      objectives.add(
          Objective.forRank(ObjectiveType.AVAILABILITY, rank, region, availability, Duration.ZERO));
      objectives.add(
          Objective.forRank(ObjectiveType.FIRST_TOKEN, rank, region, firstToken, target));
    }
  }
}
