package org.gentianslip.core.load;

import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.limit.ColdRate;

/**
 * The rates at which this instance may send requests to backend servers that restrict them.
 *
 * <p>Implementations are thread-safe.
 */
public interface SendRates {

  /** Allows every request. */
  SendRates UNRESTRICTED =
      new SendRates() {
        @Override
        public int coldPerSecond(EngineId backend) {
          return ColdRate.UNLIMITED;
        }

        @Override
        public long intervalNanos(EngineId backend, double perSecond) {
          return 0;
        }

        @Override
        public int portion(EngineId backend, int total) {
          return total;
        }
      };

  /** Returns the requests per second that may be sent to a backend server while it is cold. */
  int coldPerSecond(EngineId backend);

  /**
   * Returns the time between two requests to a backend server that has named a limit, in
   * nanoseconds, or {@code Long.MAX_VALUE} if none may be sent.
   *
   * @param perSecond the requests per second that it takes from all instances together
   */
  long intervalNanos(EngineId backend, double perSecond);

  /**
   * Returns how many of a number of requests at a backend server this instance may have, so that
   * the portions of all instances of the region add up to the number.
   */
  int portion(EngineId backend, int total);

  /** Called when a backend server gets no work as it may have started again. */
  default void turnedAway(EngineId backend) {}
}
