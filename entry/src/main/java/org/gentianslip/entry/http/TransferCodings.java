package org.gentianslip.entry.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The transfer codings of a message, in the order in which they were applied to its body.
 *
 * <p>Only the coding {@code chunked} tells where a body ends. Immutable and thread-safe.
 *
 * @param names the names in lower case, including parameters and empty list elements
 */
public record TransferCodings(List<String> names) {

  private static final String CHUNKED = "chunked";

  /** Creates a list of codings. */
  public TransferCodings {
    names = List.copyOf(names);
  }

  /** Returns the codings named in the headers of a message; there are none without the header. */
  public static TransferCodings of(HttpHeaders headers) {
    List<String> names = new ArrayList<>();
    for (String value : headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)) {
      for (String name : value.split(",", -1)) {
        names.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    return new TransferCodings(names);
  }

  /** Returns whether the message has no transfer coding. */
  public boolean isEmpty() {
    return names.isEmpty();
  }

  /** Returns whether {@code chunked} is the only coding. */
  public boolean isChunkedOnly() {
    return names.equals(List.of(CHUNKED));
  }

  /** Returns whether {@code chunked} was applied once, after all other codings. */
  public boolean endsWithChunked() {
    return !isEmpty() && names.indexOf(CHUNKED) == names.size() - 1;
  }
}
