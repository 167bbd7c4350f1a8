package org.gentianslip.entry.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * An error response to a caller.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param code the stable code
 * @param message one sentence; it contains no payload
 * @param outcome what is known about the execution of the request
 * @param entries the instances that the caller may use instead
 * @param headers additional headers
 */
public record ErrorReply(
    ErrorCode code,
    String message,
    OutcomeName outcome,
    List<EntryAddress> entries,
    Map<String, String> headers) {

  /** Creates a reply with copies of the list and the map. */
  public ErrorReply {
    Objects.requireNonNull(code);
    Objects.requireNonNull(message);
    Objects.requireNonNull(outcome);
    entries = List.copyOf(entries);
    headers = Map.copyOf(headers);
  }

  /** Returns the error response to a request that did not run. */
  public static ErrorReply notRun(ErrorCode code, String message) {
    return new ErrorReply(code, message, OutcomeName.NOT_RUN, List.of(), Map.of());
  }

  /** Returns the error response to a request that may have run. */
  public static ErrorReply unknown(ErrorCode code, String message) {
    return new ErrorReply(code, message, OutcomeName.UNKNOWN, List.of(), Map.of());
  }

  /** Returns this error response with the instances that the caller may use instead. */
  public ErrorReply withEntries(List<EntryAddress> newEntries) {
    return new ErrorReply(code, message, outcome, newEntries, headers);
  }

  /** Returns this error response with one more header. */
  public ErrorReply withHeader(String name, String value) {
    var newHeaders = new HashMap<>(headers);
    newHeaders.put(name, value);
    return new ErrorReply(code, message, outcome, entries, newHeaders);
  }

  /**
   * Returns this error response with an unknown outcome, because an earlier call with the same
   * ticket may have run.
   */
  public ErrorReply withUnknownOutcome() {
    return new ErrorReply(code, message, OutcomeName.UNKNOWN, entries, headers);
  }

  /** Returns the JSON body in UTF-8. */
  public byte[] toJson() {
    var error = Json.object();
    error.put("code", code.text());
    error.put("message", message);
    error.put("outcome", outcome.text());
    if (!entries.isEmpty()) {
      error.set("entries", Json.tree(entries));
    }
    var body = Json.object();
    body.set("error", error);
    return Json.bytes(body);
  }
}
