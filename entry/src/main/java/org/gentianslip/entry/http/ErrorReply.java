package org.gentianslip.entry.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Holds a failure as a caller sees it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param code the stable code
 * @param message one sentence; it holds no payload
 * @param outcome what is known of the execution
 * @param entries the instances that the caller may use instead
 * @param headers further headers
 */
public record ErrorReply(
    ErrorCode code,
    String message,
    OutcomeName outcome,
    List<EntryAddress> entries,
    Map<String, String> headers) {

  /** Copies the list and the map. */
  public ErrorReply {
    Objects.requireNonNull(code);
    Objects.requireNonNull(message);
    Objects.requireNonNull(outcome);
    entries = List.copyOf(entries);
    headers = Map.copyOf(headers);
  }

  /** Returns the failure of a request that did not run. */
  public static ErrorReply notRun(ErrorCode code, String message) {
    return new ErrorReply(code, message, OutcomeName.NOT_RUN, List.of(), Map.of());
  }

  /** Returns the failure of a request that may have run. */
  public static ErrorReply unknown(ErrorCode code, String message) {
    return new ErrorReply(code, message, OutcomeName.UNKNOWN, List.of(), Map.of());
  }

  /** Returns this failure with the instances that the caller may use instead. */
  public ErrorReply withEntries(List<EntryAddress> others) {
    return new ErrorReply(code, message, outcome, others, headers);
  }

  /** Returns this failure with one more header. */
  public ErrorReply withHeader(String name, String value) {
    var all = new HashMap<>(headers);
    all.put(name, value);
    return new ErrorReply(code, message, outcome, entries, all);
  }

  /**
   * Returns this failure with an unknown outcome: an earlier call of the same ticket may have run.
   */
  public ErrorReply orUnknown() {
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
