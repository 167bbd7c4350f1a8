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
import org.gentianslip.entry.relay.StreamRelay;
import org.gentianslip.entry.relay.UpstreamResult;
import org.gentianslip.entry.relay.WholeBody;

/**
 * Copies the response of a backend server or a peer to the caller, streamed or as a whole.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class AnswerCopy {

  private static final String EVENT_STREAM = "text/event-stream";

  private AnswerCopy() {}

  /**
   * Copies the response to the caller and ends the exchange.
   *
   * @return empty if the exchange has ended; otherwise the outcome of an attempt whose response
   *     broke off before the caller received any part of it
   */
  static Optional<Outcome> copy(
      ModelExchange exchange,
      UpstreamResult.Answer answer,
      RegionId region,
      TokenClock clock,
      ModelReport report) {
    Response response = answer.response();
    String type = response.header("Content-Type", "application/json");
    Map<String, String> headers = new HashMap<>();
    headers.put("Content-Type", type);
    headers.put(HeaderNames.SERVED_REGION, region.value());
    if (type.startsWith(EVENT_STREAM)) {
      copyStream(exchange, response, headers, clock, report);
      return Optional.empty();
    }
    byte[] body;
    try {
      body = WholeBody.read(response);
    } catch (IOException e) {
      return Optional.of(answer.journal().close());
    }
    answer.journal().answerRead();
    copyWhole(exchange, response, headers, body, report);
    return Optional.empty();
  }

  private static void copyStream(
      ModelExchange exchange,
      Response response,
      Map<String, String> headers,
      TokenClock clock,
      ModelReport report) {
    if (!exchange.finishOnce()) {
      response.close();
      return;
    }
    StreamRelay.End end = StreamRelay.copy(response, headers, exchange.sink(), clock);
    report.streamed(System.nanoTime(), exchange, end);
  }

  private static void copyWhole(
      ModelExchange exchange,
      Response response,
      Map<String, String> headers,
      byte[] body,
      ModelReport report) {
    if (!exchange.finishOnce()) {
      return;
    }
    String outcome = response.header(HeaderNames.OUTCOME, OutcomeName.COMPLETED.text());
    headers.put(HeaderNames.OUTCOME, outcome);
    report.answered(System.nanoTime(), exchange, outcome);
    exchange.sink().send(response.code(), headers, body);
  }
}
