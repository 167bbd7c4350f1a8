package org.gentianslip.entry.model;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import okhttp3.Call;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.membership.RendezvousHash;
import org.gentianslip.entry.configservice.InstanceRecord;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.relay.UpstreamRequest;
import org.gentianslip.entry.relay.UpstreamResult;
import org.gentianslip.entry.state.FleetState;

/**
 * Forwards requests to the peer port of other instances.
 *
 * <p>Sends a payload only to the allowed regions of its request. Safe for use by several threads.
 */
final class PeerForwarder implements Forwarder {

  private final FleetState state;
  private final UpstreamClient client;

  PeerForwarder(FleetState state, UpstreamClient client) {
    this.state = state;
    this.client = client;
  }

  @Override
  public Optional<Call> forward(
      long nowNanos,
      ModelExchange exchange,
      RegionId region,
      Consumer<UpstreamResult> resultConsumer) {
    if (!exchange.routingRequest().allowedRegions().contains(region)) {
      return Optional.empty();
    }
    Optional<InstanceRecord> target = targetInstance(nowNanos, exchange, region);
    if (target.isEmpty()) {
      return Optional.empty();
    }
    var remaining = exchange.remaining(nowNanos);
    Map<String, String> headers = new HashMap<>();
    headers.put(HeaderNames.PEER_KEY, state.config().peerKey());
    headers.put(HeaderNames.REQUEST_ID, exchange.id().value());
    headers.put(HeaderNames.CUSTOMER, exchange.routingRequest().customer().value());
    headers.put(HeaderNames.KIND, exchange.routingRequest().kind().value());
    headers.put(HeaderNames.ATTEMPT, Integer.toString(exchange.attempts()));
    headers.put(HeaderNames.REMAINING_MILLIS, Long.toString(remaining.toMillis()));
    var request =
        new UpstreamRequest(
            "POST",
            "http://" + target.get().peerAddress() + "/peer/v1/forward" + exchange.path(),
            headers,
            exchange.body(),
            "application/json",
            nowNanos + remaining.toNanos());
    return Optional.of(client.start(request, exchange.timeouts(nowNanos), resultConsumer));
  }

  private Optional<InstanceRecord> targetInstance(
      long nowNanos, ModelExchange exchange, RegionId region) {
    String key = Long.toHexString(exchange.routingRequest().prefixDigest());
    return state.liveInstances(nowNanos, region).stream()
        .max(Comparator.comparingLong(record -> RendezvousHash.hash(key, record.id())));
  }
}
