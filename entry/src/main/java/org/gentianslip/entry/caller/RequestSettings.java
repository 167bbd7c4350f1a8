package org.gentianslip.entry.caller;

import java.time.Duration;
import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.entry.relay.UpstreamTimeouts;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;

/**
 * The customer and kind of work of a request and the settings in force for them.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param customer the customer, determined by the caller's key
 * @param kind the kind of work
 * @param effective the settings in force
 * @param allowedRegions the regions that may receive the payload, as the settings define them
 */
public record RequestSettings(
    CustomerId customer, KindId kind, EffectiveSettings effective, Set<RegionId> allowedRegions) {

  /** Returns the settings in force for requests of a customer and a kind of work in a region. */
  public static RequestSettings of(
      Settings settings, CustomerId customer, RegionId region, KindId kind) {
    EffectiveSettings effective = settings.effective(customer, region, kind);
    return new RequestSettings(
        customer, kind, effective, effective.get(SettingCatalog.ALLOWED_REGIONS));
  }

  /** Returns the rank. */
  public Rank rank() {
    return effective.get(SettingCatalog.RANK);
  }

  /** Returns the longest time between two tokens that meets the target. */
  public Duration tokenGapTarget() {
    return effective.get(SettingCatalog.TOKEN_GAP_TARGET);
  }

  /** Returns how long a request may wait for its first token. */
  public Duration firstTokenLimit() {
    return effective
        .get(SettingCatalog.QUEUE_TIMEOUT)
        .plus(effective.get(SettingCatalog.FIRST_TOKEN_TARGET));
  }

  /** Returns how long the whole request may take. */
  public Duration deadline() {
    return effective.get(SettingCatalog.DEADLINE);
  }

  /**
   * Returns the time limits of an exchange with a streamed response.
   *
   * @param remaining the time that the whole exchange may take
   */
  public UpstreamTimeouts streamTimeouts(Duration remaining) {
    return new UpstreamTimeouts(
        effective.get(SettingCatalog.CONNECT_TIMEOUT),
        effective.get(SettingCatalog.STREAM_SILENCE),
        remaining);
  }

  /**
   * Returns the time limits of an exchange whose response is sent as a whole at its end.
   *
   * @param remaining the time that the whole exchange may take
   */
  public UpstreamTimeouts wholeResponseTimeouts(Duration remaining) {
    return new UpstreamTimeouts(
        effective.get(SettingCatalog.CONNECT_TIMEOUT), remaining, remaining);
  }
}
