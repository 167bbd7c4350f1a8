package org.gentianslip.entry.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks whether the head of a response is one head, has a status and tells where its body ends.
 *
 * <p>A server that stops within a head and goes on with another response leaves the second status
 * line in the first head. Stateless and safe for use by several threads.
 *
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9112#section-6.3">RFC 9112, section 6.3</a>
 */
public final class ResponseFraming {

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;
  private static final Pattern LENGTH = Pattern.compile("\\d+");

  private ResponseFraming() {}

  /**
   * Returns why a response must not be read, or empty if it may be. The connection of a response
   * that must not be read must be closed.
   *
   * @see <a href="https://www.rfc-editor.org/rfc/rfc9110#section-15">RFC 9110, section 15</a>
   */
  public static Optional<String> fault(int status, String reasonPhrase, HttpHeaders headers) {
    if (status < MIN_STATUS || status > MAX_STATUS) {
      return Optional.of("no status " + status);
    }
    if (hasSecondStatusLine(reasonPhrase, headers)) {
      return Optional.of("a second status line within the head");
    }
    TransferCodings codings = TransferCodings.of(headers);
    if (!codings.isEmpty() && !codings.isChunkedOnly()) {
      return Optional.of("unknown transfer codings " + codings.names());
    }
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (lengths.size() > 1 || !lengths.stream().allMatch(l -> LENGTH.matcher(l).matches())) {
      return Optional.of("no single length " + lengths);
    }
    return Optional.empty();
  }

  private static boolean hasSecondStatusLine(String reasonPhrase, HttpHeaders headers) {
    if (containsStatusLine(reasonPhrase)) {
      return true;
    }
    for (Map.Entry<String, String> header : headers) {
      if (containsStatusLine(header.getKey()) || containsStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsStatusLine(String text) {
    return STATUS_LINE.matcher(text).find();
  }
}
