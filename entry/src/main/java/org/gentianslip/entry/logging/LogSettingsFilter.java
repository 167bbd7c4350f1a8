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
 * Applies the log level and the log rate of the settings to the gateway's log.
 *
 * <p>Loggers of libraries keep their levels, but are subject to the same rate limit. Safe for use
 * by several threads.
 *
 * @see SettingCatalog#LOG_LEVEL
 * @see SettingCatalog#LOG_RATE_PER_SECOND
 */
public final class LogSettingsFilter implements Filter {

  private final Logger gatewayLogger;
  private final LogRateLimiter rateLimiter =
      new LogRateLimiter(SettingCatalog.LOG_RATE_PER_SECOND.defaultValue());
  private final LongSupplier clock;

  private LogSettingsFilter(Logger gatewayLogger, LongSupplier clock) {
    this.gatewayLogger = gatewayLogger;
    this.clock = clock;
  }

  /**
   * Installs a filter on all handlers of a logger.
   *
   * @param handlerLogger the logger whose handlers print the lines
   * @param gatewayLogger the parent of the gateway's loggers
   * @param clock returns the current time, in nanoseconds of the monotonic clock
   */
  public static LogSettingsFilter install(
      Logger handlerLogger, Logger gatewayLogger, LongSupplier clock) {
    var filter = new LogSettingsFilter(gatewayLogger, clock);
    for (Handler handler : handlerLogger.getHandlers()) {
      handler.setLevel(Level.ALL);
      handler.setFilter(filter);
    }
    return filter;
  }

  /** Applies the settings of this instance. */
  public void apply(EffectiveSettings settings) {
    gatewayLogger.setLevel(
        Level.parse(settings.get(SettingCatalog.LOG_LEVEL).toUpperCase(Locale.ROOT)));
    rateLimiter.setLimit(settings.get(SettingCatalog.LOG_RATE_PER_SECOND));
  }

  @Override
  public boolean isLoggable(LogRecord record) {
    String callSite = record.getSourceClassName() + "#" + record.getSourceMethodName();
    return rateLimiter.admits(clock.getAsLong(), callSite);
  }
}
