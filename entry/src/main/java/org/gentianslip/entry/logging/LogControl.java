package org.gentianslip.entry.logging;

import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.logging.Filter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.SettingCatalog;

/**
 * Applies the settings' level and rate to the log lines of the gateway.
 *
 * <p>Lines of libraries keep the levels that they have and share the bound on the rate. Safe for
 * use by several threads.
 *
 * @see SettingCatalog#LOG_LEVEL
 * @see SettingCatalog#LOG_RATE_PER_SECOND
 */
public final class LogControl implements Filter {

  private final Logger gateway;
  private final LogRate rate = new LogRate(SettingCatalog.LOG_RATE_PER_SECOND.defaultValue());
  private final LongSupplier clock;

  private LogControl(Logger gateway, LongSupplier clock) {
    this.gateway = gateway;
    this.clock = clock;
  }

  /**
   * Installs the control at the handlers of a logger.
   *
   * @param handlers the logger whose handlers print the lines
   * @param gateway the logger above those of the gateway
   * @param clock gives the present time, in nanoseconds of the monotonic clock
   */
  public static LogControl install(Logger handlers, Logger gateway, LongSupplier clock) {
    var control = new LogControl(gateway, clock);
    for (Handler handler : handlers.getHandlers()) {
      handler.setLevel(Level.ALL);
      handler.setFilter(control);
    }
    return control;
  }

  /** Takes the values for this instance. */
  public void apply(EffectiveSettings instance) {
    gateway.setLevel(Level.parse(instance.get(SettingCatalog.LOG_LEVEL).toUpperCase(Locale.ROOT)));
    rate.setLimit(instance.get(SettingCatalog.LOG_RATE_PER_SECOND));
  }

  @Override
  public boolean isLoggable(LogRecord line) {
    String place = line.getSourceClassName() + "#" + line.getSourceMethodName();
    return rate.admits(clock.getAsLong(), place);
  }
}
