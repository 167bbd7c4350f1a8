import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A head of HTTP/1.1 and its body, read from a socket.
 *
 * @param firstLine the request line or the status line
 * @param headers the headers; names in any case
 * @param body the body
 * @param complete whether the body came to its end
 */
record HttpMessage(String firstLine, Map<String, String> headers, byte[] body, boolean complete) {

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  int status() {
    return Integer.parseInt(firstLine.split(" ")[1]);
  }

  /** Reads a head, or returns null if the connection ends before one. */
  static HttpMessage readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    return new HttpMessage(first, headers, new byte[0], false);
  }

  /** Reads a whole message; a body that breaks off leaves it incomplete. */
  static HttpMessage read(InputStream in) throws IOException {
    HttpMessage head = readHead(in);
    if (head == null) {
      return null;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = true;
    try {
      if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
        readChunks(in, body);
      } else if (!head.header("Content-Length").isEmpty()) {
        readFully(in, body, Integer.parseInt(head.header("Content-Length")));
      }
    } catch (IOException e) {
      complete = false;
    }
    return new HttpMessage(head.firstLine(), head.headers(), body.toByteArray(), complete);
  }

  private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = readLine(in);
      if (size == null) {
        throw new EOFException();
      }
      int length = Integer.parseInt(size.trim(), 16);
      readFully(in, body, length);
      if (length == 0) {
        readLine(in);
        return;
      }
      readLine(in);
    }
  }

  private static void readFully(InputStream in, ByteArrayOutputStream body, int length)
      throws IOException {
    for (int i = 0; i < length; i++) {
      int b = in.read();
      if (b < 0) {
        throw new EOFException();
      }
      body.write(b);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
    return null;
  }
}
