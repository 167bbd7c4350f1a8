package org.gentianslip.load.call;

import java.io.IOException;
import okio.BufferedSource;

/**
 * Parses a stream of server-sent events.
 *
 * <p>An event that the end of the stream cuts off is discarded. Not thread-safe.
 */
final class ServerSentEventReader {

  private static final String DEFAULT_TYPE = "message";

  private final BufferedSource source;

  ServerSentEventReader(BufferedSource source) {
    this.source = source;
  }

  /** Returns the next event, or null at the end of the stream. */
  ServerSentEvent next() throws IOException {
    String type = DEFAULT_TYPE;
    StringBuilder data = null;
    for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
      if (line.isEmpty()) {
        if (data != null) {
          return new ServerSentEvent(type, data.toString());
        }
        type = DEFAULT_TYPE;
      } else if (line.startsWith("event:")) {
        type = fieldValue(line);
      } else if (line.startsWith("data:")) {
        data = data == null ? new StringBuilder() : data.append('\n');
        data.append(fieldValue(line));
      }
    }
    return null;
  }

  private static String fieldValue(String line) {
    String fieldValue = line.substring(line.indexOf(':') + 1);
    return fieldValue.startsWith(" ") ? fieldValue.substring(1) : fieldValue;
  }
}
