package org.gentianslip.entry.configservice;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.util.function.BiConsumer;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.state.FleetState;

/**
 * Applies instance lists read from the config service and reports when the list in use is
 * confirmed.
 *
 * <p>The list in use is confirmed only while the config service returns the same version, not an
 * older one. Confined to the thread of the watcher.
 */
public final class InstanceListUpdater implements KeyWatcher.ValueListener {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final FleetState state;
  private final BiConsumer<InstanceList, Long> confirmationListener;
  private long serviceVersion;

  /**
   * Creates an updater for a state.
   *
   * @param confirmationListener receives the list in use and the time at which the confirming call
   *     was sent, in nanoseconds of the monotonic clock
   */
  public InstanceListUpdater(
      FleetState state, BiConsumer<InstanceList, Long> confirmationListener) {
    this.state = state;
    this.confirmationListener = confirmationListener;
  }

  @Override
  public boolean accept(long revision, byte[] value) {
    serviceVersion = 0;
    try {
      var list = Json.parse(value, InstanceList.class);
      state.updateInstanceList(System.nanoTime(), list);
      serviceVersion = list.version();
    } catch (JsonProcessingException | IllegalArgumentException e) {
      LOGGER.atWarning().log("list: The instance list cannot be parsed: %s", e.getMessage());
    }
    return true;
  }

  @Override
  public void confirmed(long sentNanos) {
    var list = state.instanceList();
    if (serviceVersion > 0 && serviceVersion == list.version()) {
      confirmationListener.accept(list, sentNanos);
    }
  }
}
