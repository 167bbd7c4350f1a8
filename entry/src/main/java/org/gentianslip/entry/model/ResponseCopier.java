package org.gentianslip.entry.model;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import okhttp3.Response;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.OutcomeName;
import org.gentianslip.entry.relay.ResponseBodyReader;
import org.gentianslip.entry.relay.StreamRelay;
import org.gentianslip.entry.relay.UpstreamResult;

/**
 * Copies the response of a backend server or a peer to the caller, streamed or as a whole.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class ResponseCopier {

  private static final String EVENT_STREAM = "text/event-stream";

  private ResponseCopier() {}

  /**
   * Copies the response to the caller and ends the exchange.
   *
   * @return empty if the exchange has ended; otherwise the outcome of an attempt whose response was
   *     cut off before the caller received any part of it
   */
  static Optional<Outcome> copy(
      ModelExchange exchange,
      UpstreamResult.Responded responded,
      RegionId region,
      TokenTimer timer,
      ModelRequestReporter reporter) {
    Response response = responded.response();
    String contentType = response.header("Content-Type", "application/json");
    Map<String, String> headers = new HashMap<>();
    headers.put("Content-Type", contentType);
    headers.put(HeaderNames.SERVED_REGION, region.value());
    if (contentType.startsWith(EVENT_STREAM)) {
      copyStream(exchange, response, headers, timer, reporter);
      return Optional.empty();
    }
    byte[] body;
    try {
      body = ResponseBodyReader.read(response);
    } catch (IOException e) {
      return Optional.of(responded.journal().close());
    }
    responded.journal().answerCompleted();
    copyBody(exchange, response, headers, body, reporter);
    return Optional.empty();
  }

  private static void copyStream(
      ModelExchange exchange,
      Response response,
      Map<String, String> headers,
      TokenTimer timer,
      ModelRequestReporter reporter) {
    if (!exchange.finishOnce()) {
      response.close();
      return;
    }
    StreamRelay.End end = StreamRelay.copy(response, headers, exchange.sink(), timer);
    reporter.streamed(System.nanoTime(), exchange, end);
  }

  private static void copyBody(
      ModelExchange exchange,
      Response response,
      Map<String, String> headers,
      byte[] body,
      ModelRequestReporter reporter) {
    if (!exchange.finishOnce()) {
      return;
    }
    String outcome = response.header(HeaderNames.OUTCOME, OutcomeName.COMPLETED.text());
    headers.put(HeaderNames.OUTCOME, outcome);
    reporter.answered(System.nanoTime(), exchange, outcome);
    exchange.sink().send(response.code(), headers, body);
  }
}
