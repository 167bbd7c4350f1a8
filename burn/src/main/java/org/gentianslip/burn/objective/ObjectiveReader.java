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
 * Reads the objectives from the settings.
 *
 * <p>Where several kinds or customers share a metric, the strictest of their objectives counts.
 * Stateless and safe for use by several threads.
 */
public final class ObjectiveReader {

  private ObjectiveReader() {}

  /** Returns the objectives by rank and region, then those by customer. */
  public static List<Objective> read(Settings settings) {
    List<Objective> objectives = new ArrayList<>();
    for (Region region : settings.regions()) {
      Map<Rank, Strictest> byRank = new EnumMap<>(Rank.class);
      for (Customer customer : settings.customers()) {
        for (KindId kind : settings.kinds(customer.firm())) {
          EffectiveSettings values = settings.effective(customer.id(), region.id(), kind);
          byRank
              .computeIfAbsent(values.get(SettingCatalog.RANK), r -> new Strictest())
              .take(values);
        }
      }
      byRank.forEach((rank, strictest) -> strictest.addTo(objectives, rank, region.id()));
    }
    settings.customers().forEach(customer -> objectives.add(ofCustomer(settings, customer)));
    return List.copyOf(objectives);
  }

  private static Objective ofCustomer(Settings settings, Customer customer) {
    Strictest strictest = new Strictest();
    for (Region region : settings.regions()) {
      for (KindId kind : settings.kinds(customer.firm())) {
        strictest.take(settings.effective(customer.id(), region.id(), kind));
      }
    }
    return Objective.ofCustomer(customer.id(), strictest.availability);
  }

  /** The strictest of several objectives. Used by one thread. */
  private static final class Strictest {
    private double availability;
    private double firstToken;
    private Duration target = Duration.ofDays(1);

    void take(EffectiveSettings values) {
      availability =
          Math.max(availability, values.get(SettingCatalog.OBJECTIVE_AVAILABILITY_SHARE));
      firstToken = Math.max(firstToken, values.get(SettingCatalog.OBJECTIVE_FIRST_TOKEN_SHARE));
      Duration other = values.get(SettingCatalog.FIRST_TOKEN_TARGET);
      target = other.compareTo(target) < 0 ? other : target;
    }

    void addTo(List<Objective> objectives, Rank rank, RegionId region) {
      objectives.add(
          Objective.ofRank(ObjectiveType.AVAILABILITY, rank, region, availability, Duration.ZERO));
      objectives.add(Objective.ofRank(ObjectiveType.FIRST_TOKEN, rank, region, firstToken, target));
    }
  }
}
