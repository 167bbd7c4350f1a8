package org.gentianslip.entry.model;

import java.util.Optional;
import java.util.function.Consumer;
import okhttp3.Call;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.entry.relay.UpstreamResult;

/**
 * Forwards no request; used for requests that a peer has forwarded already.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class NoForwarder implements Forwarder {

  @Override
  public Optional<Call> forward(
      long nowNanos,
      ModelExchange exchange,
      RegionId region,
      Consumer<UpstreamResult> resultConsumer) {
    return Optional.empty();
  }
}
