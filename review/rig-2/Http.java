import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from sockets. Stateless. */
final class Http {

  private Http() {}

  /** The first line and the headers of a message; names of headers are in lower case. */
  record Head(String line, Map<String, String> headers) {

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns a part of the first line, counted from 0. */
    String word(int index) {
      return line.split(" ", 3)[index];
    }

    int status() {
      return Integer.parseInt(word(1));
    }
  }

  /** Returns the next line, or null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    var bytes = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      if (next == '\n') {
        String line = bytes.toString(StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
      }
      bytes.write(next);
    }
  }

  /** Returns the next head, or null at the end of the stream. */
  static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        return null;
      }
      if (line.isEmpty()) {
        return new Head(first, headers);
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
  }

  /** Returns the next chunk of a chunked body; empty for the last one. */
  static byte[] readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null) {
      throw new EOFException("The body ended without its last chunk");
    }
    byte[] chunk = readExactly(in, Integer.parseInt(size.trim(), 16));
    readLine(in);
    return chunk;
  }

  /** Returns that many bytes. */
  static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("The body ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }
}
