package org.gentianslip.load.call;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import okhttp3.Response;

/**
 * Converts unsuccessful responses and broken exchanges to replies.
 *
 * <p>After a request may have been written, only the header {@code X-Outcome: not-run} or a
 * required ticket proves that the call did not run. Stateless and thread-safe.
 */
final class FailureReader {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int STATUS_TICKET_REQUIRED = 428;

  private FailureReader() {}

  static Reply fromResponse(Response response) throws IOException {
    String ticket = response.header("X-Ticket");
    if (response.code() == STATUS_TICKET_REQUIRED && ticket != null) {
      response.body().bytes();
      return new Reply.TicketRequired(ticket);
    }
    JsonNode error = parse(response.body().bytes()).path("error");
    String code = error.path("code").asText("status_" + response.code());
    String detail = error.path("message").asText("status " + response.code());
    if ("not-run".equals(response.header("X-Outcome"))) {
      return new Reply.NotRun(
          code, detail, EntryAddress.parseList(error.path("entries"), "address"));
    }
    return new Reply.Unknown(code, detail);
  }

  static Reply fromException(SentFlag sentFlag, IOException cause) {
    String detail = cause.getClass().getSimpleName() + ": " + cause.getMessage();
    if (sentFlag.isSent()) {
      return new Reply.Unknown("broken", detail);
    }
    return new Reply.NotRun("unreachable", detail, List.of());
  }

  private static JsonNode parse(byte[] body) {
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      return JSON.createObjectNode();
    }
  }
}
