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
final class JoobyRequests {

  private JoobyRequests() {}

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
  static Optional<ErrorReply> bodyRefusal(Context ctx, long maxBodyBytes, byte[] body) {
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
              "Form bodies are not supported; send another content type, such as"
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
    String contentType = header(ctx, "Content-Type");
    String lowerCase = contentType == null ? "" : contentType.toLowerCase(Locale.ROOT);
    return lowerCase.startsWith("application/x-www-form-urlencoded")
        || lowerCase.startsWith("multipart/form-data");
  }

  /** Returns the path and query after a prefix, or empty if the path has dot segments. */
  static Optional<String> pathAfter(Context ctx, String prefix) {
    String path = ctx.getRequestPath().substring(prefix.length());
    if (path.isEmpty()) {
      path = "/";
    }
    for (String segment : path.split("/")) {
      String decoded = segment.replace("%2e", ".").replace("%2E", ".");
      if (decoded.equals(".") || decoded.equals("..")) {
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
