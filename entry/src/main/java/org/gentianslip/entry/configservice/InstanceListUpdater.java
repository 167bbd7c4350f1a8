package org.gentianslip.entry.configservice;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.util.function.BiConsumer;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.state.FleetState;

/**
 * Takes the platform's lists and tells when the one in use is confirmed.
 *
 * <p>A list is confirmed only while the service shows the version in use, so not by a service that
 * shows an older one. Confined to the watcher's thread.
 */
public final class InstanceListUpdater implements KeyWatcher.ValueListener {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final FleetState state;
  private final BiConsumer<InstanceList, Long> confirmations;
  private long shownVersion;

  /**
   * Creates an intake.
   *
   * @param confirmations receives the list in use and when the call that showed it was sent
   */
  public InstanceListUpdater(FleetState state, BiConsumer<InstanceList, Long> confirmations) {
    this.state = state;
    this.confirmations = confirmations;
  }

  @Override
  public boolean accept(long revision, byte[] value) {
    shownVersion = 0;
    try {
      var list = Json.parse(value, InstanceList.class);
      state.updateInstanceList(System.nanoTime(), list);
      shownVersion = list.version();
    } catch (JsonProcessingException | IllegalArgumentException e) {
      LOGGER.atWarning().log("list: The list is not readable. %s", e.getMessage());
    }
    return true;
  }

  @Override
  public void confirmed(long sentNanos) {
    var list = state.instanceList();
    if (shownVersion > 0 && shownVersion == list.version()) {
      confirmations.accept(list, sentNanos);
    }
  }
}
