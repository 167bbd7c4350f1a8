package review.rig;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
public final class Http {

  private Http() {}

  /** A message; the names of its headers are in lower case. */
  public record Message(String start, Map<String, String> headers, byte[] body) {

    /** Returns a header, or an empty text. */
    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the status of a response. */
    public int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    /** Returns the target of a request. */
    public String target() {
      return start.split(" ")[1];
    }

    /** Returns the body as a text. */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a message with a length or in chunks; returns null if the connection ended before. */
  public static Message read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
    }
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      return new Message(start, headers, chunks(in));
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the body has " + body.length + " of " + length + " bytes");
    }
    return new Message(start, headers, body);
  }

  private static byte[] chunks(InputStream in) throws IOException {
    var body = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException("no last chunk");
      }
      int length = Integer.parseInt(size.split(";")[0].trim(), 16);
      byte[] part = in.readNBytes(length);
      if (part.length < length || line(in) == null) {
        throw new EOFException("a chunk is not complete");
      }
      if (length == 0) {
        return body.toByteArray();
      }
      body.writeBytes(part);
    }
  }

  private static String line(InputStream in) throws IOException {
    var bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
      }
      bytes.write(b);
    }
    return null;
  }

  /** Writes a response with a length. */
  public static void respond(OutputStream out, int status, String headers, byte[] body)
      throws IOException {
    String head =
        "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
    var all = new ByteArrayOutputStream();
    all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    all.writeBytes(body);
    out.write(all.toByteArray());
    out.flush();
  }
}
