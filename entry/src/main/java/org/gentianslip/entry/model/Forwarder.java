package org.gentianslip.entry.model;

import java.util.Optional;
import java.util.function.Consumer;
import okhttp3.Call;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.entry.relay.UpstreamResult;

/** Sends model requests to instances of other regions. Implementations are thread-safe. */
interface Forwarder {

  /**
   * Sends a request to an instance of a region.
   *
   * @return the call, or empty if no instance of the region can be used
   */
  Optional<Call> forward(
      long nowNanos,
      ModelExchange exchange,
      RegionId region,
      Consumer<UpstreamResult> resultConsumer);
}
