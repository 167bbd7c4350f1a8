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
 * Holds who sent a request and the values in force for it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param customer the customer, by the caller's key
 * @param kind the kind of work
 * @param effective the values in force
 * @param allowedRegions the regions that may see the payload; never wider than the settings say
 */
public record RequestSettings(
    CustomerId customer, KindId kind, EffectiveSettings effective, Set<RegionId> allowedRegions) {

  /** Looks up the values in force. */
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

  /** Returns the greatest time between two tokens that counts as in time. */
  public Duration tokenGapTarget() {
    return effective.get(SettingCatalog.TOKEN_GAP_TARGET);
  }

  /** Returns how long a request may wait for its first token before it waits in vain. */
  public Duration firstTokenLimit() {
    return effective
        .get(SettingCatalog.QUEUE_TIMEOUT)
        .plus(effective.get(SettingCatalog.FIRST_TOKEN_TARGET));
  }

  /** Returns how long the whole request may take. */
  public Duration deadline() {
    return effective.get(SettingCatalog.DEADLINE);
  }

  /** Returns the bounds of an exchange with a backend server that may take the given time. */
  public UpstreamTimeouts timeouts(Duration remaining) {
    return new UpstreamTimeouts(
        effective.get(SettingCatalog.CONNECT_TIMEOUT),
        effective.get(SettingCatalog.STREAM_SILENCE),
        remaining);
  }

  /** Returns the bounds of an exchange whose answer comes as a whole at its end. */
  public UpstreamTimeouts wholeAnswerTimeouts(Duration remaining) {
    return new UpstreamTimeouts(
        effective.get(SettingCatalog.CONNECT_TIMEOUT), remaining, remaining);
  }
}
