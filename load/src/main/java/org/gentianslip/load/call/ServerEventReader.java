package org.gentianslip.load.call;

import java.io.IOException;
import okio.BufferedSource;

/**
 * Reads server-sent events.
 *
 * <p>An event that the end of the stream cuts off is not given. Not safe for use by several
 * threads.
 */
final class ServerEventReader {

  private static final String DEFAULT_TYPE = "message";

  private final BufferedSource source;

  ServerEventReader(BufferedSource source) {
    this.source = source;
  }

  /** Returns the next event, or null at the end of the stream. */
  ServerEvent next() throws IOException {
    String type = DEFAULT_TYPE;
    StringBuilder data = null;
    for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
      if (line.isEmpty()) {
        if (data != null) {
          return new ServerEvent(type, data.toString());
        }
        type = DEFAULT_TYPE;
      } else if (line.startsWith("event:")) {
        type = value(line);
      } else if (line.startsWith("data:")) {
        data = data == null ? new StringBuilder() : data.append('\n');
        data.append(value(line));
      }
    }
    return null;
  }

  private static String value(String line) {
    String value = line.substring(line.indexOf(':') + 1);
    return value.startsWith(" ") ? value.substring(1) : value;
  }
}
