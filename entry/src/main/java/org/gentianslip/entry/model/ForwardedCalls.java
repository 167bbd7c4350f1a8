package org.gentianslip.entry.model;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import okhttp3.Call;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;

/**
 * Tracks the calls to other regions that have not ended yet.
 *
 * <p>Safe for use by several threads.
 */
final class ForwardedCalls {

  private final Map<RegionId, Map<RequestId, Call>> calls = new ConcurrentHashMap<>();

  void add(RegionId region, RequestId id, Call call) {
    calls.computeIfAbsent(region, r -> new ConcurrentHashMap<>()).put(id, call);
  }

  void remove(RegionId region, RequestId id) {
    Map<RequestId, Call> regionCalls = calls.get(region);
    if (regionCalls != null) {
      regionCalls.remove(id);
    }
  }

  Set<RegionId> regions() {
    return calls.keySet();
  }

  /** Cancels all calls to a region; each of them fails on its own thread. */
  void cancelAll(RegionId region) {
    calls.getOrDefault(region, Map.of()).values().forEach(Call::cancel);
  }
}
