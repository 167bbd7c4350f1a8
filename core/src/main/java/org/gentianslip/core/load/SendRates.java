package org.gentianslip.core.load;

import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.limit.ColdRate;
import org.gentianslip.core.limit.RefusalShare;

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

        @Override
        public int places(EngineId backend, int slots) {
          return slots;
        }

        @Override
        public RefusalShare refusals(EngineId backend, double perSecond) {
          return RefusalShare.UNLIMITED;
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

  /** Returns how many of the slots of a backend server belong to this instance. */
  int places(EngineId backend, int slots);

  /**
   * Returns this instance's share of the refusals for want of room that a backend server bears.
   *
   * @param perSecond the refusals per second of all instances together
   */
  RefusalShare refusals(EngineId backend, double perSecond);

  /** Returns the share of the rate of a cold backend server. */
  default ColdShare coldShare(EngineId backend) {
    return () -> coldPerSecond(backend);
  }
}
