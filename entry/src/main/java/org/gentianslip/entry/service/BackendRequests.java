package org.gentianslip.entry.service;

import java.util.HashMap;
import java.util.Map;
import okhttp3.Response;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.relay.UpstreamRequest;

/** Translates between calls and HTTP. Stateless and safe for use by several threads. */
final class BackendRequests {

  private BackendRequests() {}

  static UpstreamRequest toBackend(ServiceCall call, BackendRecord backend, long notAfterNanos) {
    Map<String, String> headers = new HashMap<>();
    headers.put(HeaderNames.CALL_ID, call.callId());
    headers.put(HeaderNames.REQUEST_ID, call.id().value());
    return new UpstreamRequest(
        call.method(),
        "http://" + backend.address() + call.path(),
        headers,
        bodyOf(call),
        call.contentType(),
        notAfterNanos);
  }

  static UpstreamRequest toPeer(
      ServiceCall call, String peerAddress, String peerKey, long remainingMillis) {
    Map<String, String> headers = new HashMap<>();
    headers.put(HeaderNames.PEER_KEY, peerKey);
    headers.put(HeaderNames.REQUEST_ID, call.id().value());
    headers.put(HeaderNames.CALL_ID, call.callId());
    headers.put(HeaderNames.CUSTOMER, call.settings().customer().value());
    headers.put(HeaderNames.KIND, call.settings().kind().value());
    headers.put(HeaderNames.REMAINING_MILLIS, Long.toString(remainingMillis));
    call.ticket().ifPresent(t -> headers.put(HeaderNames.TICKET, t));
    return new UpstreamRequest(
        call.method(),
        "http://" + peerAddress + "/peer/v1/forward/services/" + call.service().id() + call.path(),
        headers,
        bodyOf(call),
        call.contentType(),
        call.endNanos());
  }

  static Map<String, String> answerHeaders(Response response, String region, Outcome outcome) {
    Map<String, String> headers = new HashMap<>();
    headers.put("Content-Type", response.header("Content-Type", "application/json"));
    headers.put(HeaderNames.SERVED_REGION, region);
    headers.put(HeaderNames.OUTCOME, outcome.headerValue());
    return headers;
  }

  private static byte[] bodyOf(ServiceCall call) {
    return switch (call.method()) {
      case "GET", "HEAD" -> null;
      default -> call.body();
    };
  }
}
