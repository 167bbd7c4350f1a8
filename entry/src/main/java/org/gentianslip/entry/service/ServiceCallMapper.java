package org.gentianslip.entry.service;

import java.util.HashMap;
import java.util.Map;
import okhttp3.Response;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.relay.UpstreamRequest;

/**
 * Converts service calls to HTTP requests and responses to headers for the caller. Stateless and
 * safe for use by several threads.
 */
final class ServiceCallMapper {

  private ServiceCallMapper() {}

  static UpstreamRequest toBackendRequest(
      ServiceCall call, BackendRecord backend, long sendDeadlineNanos) {
    Map<String, String> headers = new HashMap<>();
    headers.put(HeaderNames.CALL_ID, call.callId());
    headers.put(HeaderNames.REQUEST_ID, call.id().value());
    return new UpstreamRequest(
        call.method(),
        "http://" + backend.address() + call.path(),
        headers,
        bodyOf(call),
        call.contentType(),
        sendDeadlineNanos);
  }

  static UpstreamRequest toPeerRequest(
      ServiceCall call, String peerAddress, String peerKey, long remainingMillis) {
    Map<String, String> headers = new HashMap<>();
    headers.put(HeaderNames.PEER_KEY, peerKey);
    headers.put(HeaderNames.REQUEST_ID, call.id().value());
    headers.put(HeaderNames.CALL_ID, call.callId());
    headers.put(HeaderNames.CUSTOMER, call.settings().customer().value());
    headers.put(HeaderNames.KIND, call.settings().kind().value());
    headers.put(HeaderNames.REMAINING_MILLIS, Long.toString(remainingMillis));
    call.ticket().ifPresent(ticket -> headers.put(HeaderNames.TICKET, ticket));
    return new UpstreamRequest(
        call.method(),
        "http://" + peerAddress + "/peer/v1/forward/services/" + call.service().id() + call.path(),
        headers,
        bodyOf(call),
        call.contentType(),
        call.deadlineNanos());
  }

  static Map<String, String> responseHeaders(Response response, String region, Outcome outcome) {
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
