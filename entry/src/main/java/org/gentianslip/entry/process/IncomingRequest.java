package org.gentianslip.entry.process;

import io.jooby.Context;
import java.util.Locale;
import java.util.Optional;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;

/**
 * Reads the headers, body and path of Jooby requests. Stateless and safe for use by several
 * threads.
 */
final class IncomingRequest {

  private IncomingRequest() {}

  /** Returns a header, or null if it is missing. */
  static String header(Context ctx, String name) {
    return ctx.header(name).valueOrNull();
  }

  /** Returns the body, empty if there is none. */
  static byte[] body(Context ctx) {
    byte[] bytes = ctx.body().bytes();
    return bytes == null ? new byte[0] : bytes;
  }

  /** Returns why the body of a request is refused, or empty if it is not. */
  static Optional<ErrorReply> fault(Context ctx, long maxBodyBytes, byte[] body) {
    String coding = header(ctx, "Content-Encoding");
    if (coding != null && !coding.equalsIgnoreCase("identity")) {
      return Optional.of(
          ErrorReply.notRun(
              ErrorCode.UNSUPPORTED_CODING, "Send the body without a content coding."));
    }
    if (isForm(ctx)) {
      return Optional.of(
          ErrorReply.notRun(
              ErrorCode.UNSUPPORTED_FORM,
              "Send the body with another content type than that of a form, such as"
                  + " application/json."));
    }
    if (body.length > maxBodyBytes) {
      return Optional.of(
          ErrorReply.notRun(
              ErrorCode.BODY_TOO_LARGE,
              "The body has " + body.length + " bytes; at most " + maxBodyBytes + " are allowed."));
    }
    return Optional.empty();
  }

  /**
   * Returns whether the server parsed the body as a form, so that its original bytes are not
   * available.
   */
  private static boolean isForm(Context ctx) {
    String type = header(ctx, "Content-Type");
    String lower = type == null ? "" : type.toLowerCase(Locale.ROOT);
    return lower.startsWith("application/x-www-form-urlencoded")
        || lower.startsWith("multipart/form-data");
  }

  /** Returns the path and query after a prefix, or empty if the path has dot segments. */
  static Optional<String> pathBelow(Context ctx, String prefix) {
    String path = ctx.getRequestPath().substring(prefix.length());
    if (path.isEmpty()) {
      path = "/";
    }
    for (String segment : path.split("/")) {
      String plain = segment.replace("%2e", ".").replace("%2E", ".");
      if (plain.equals(".") || plain.equals("..")) {
        return Optional.empty();
      }
    }
    String query = ctx.queryString();
    return Optional.of(query == null || query.isEmpty() ? path : path + query);
  }

  /** Returns the ticket sent with a call, if any. */
  static Optional<String> ticket(Context ctx) {
    return Optional.ofNullable(header(ctx, HeaderNames.TICKET));
  }
}
