package review.rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends one request on a new connection. */
public final class Client {

  private Client() {}

  /** The end of a request: its status, or 0 if the connection ended without a complete answer. */
  public record Result(int status, String body, String error, long millis, String retryAfter) {

    /** Returns the time of Retry-After, in milliseconds; 0 if there is none. */
    public long retryAfterMillis() {
      return retryAfter.isEmpty() ? 0 : (long) (1_000 * Double.parseDouble(retryAfter));
    }
  }

  /** Sends a request and waits for its answer. */
  public static Result send(
      RunLog record,
      int port,
      String method,
      String path,
      String id,
      int deadlineMillis,
      byte[] body) {
    return send(record, port, method, path, id, deadlineMillis, body, "");
  }

  /** Sends a request with further headers, each with its line end, and waits for its answer. */
  public static Result send(
      RunLog record,
      int port,
      String method,
      String path,
      String id,
      int deadlineMillis,
      byte[] body,
      String headers) {
    record.add("client: sends %s %s as request %s to port %d", method, path, id, port);
    long start = System.nanoTime();
    Result result;
    try (var socket = new Socket("127.0.0.1", port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(deadlineMillis + 2_000);
      var bytes = new ByteArrayOutputStream();
      String head =
          String.format(
              "%s %s HTTP/1.1\r\nHost: shop.example\r\nGentianslip-Request-Id: %s\r\n"
                  + "Gentianslip-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
              method, path, id, deadlineMillis, headers, body.length);
      bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
      bytes.writeBytes(body);
      socket.getOutputStream().write(bytes.toByteArray());
      Http.Message answer = Http.read(socket.getInputStream());
      result =
          answer == null
              ? failure("closed without an answer", start)
              : new Result(
                  answer.status(),
                  answer.text().replace("\n", " "),
                  "",
                  millisSince(start),
                  answer.header("Retry-After"));
    } catch (IOException e) {
      result = failure(e.toString(), start);
    }
    record.add(
        "client: request %s ends after %d ms: status %d %s%s",
        id, result.millis(), result.status(), result.body(), result.error());
    return result;
  }

  private static Result failure(String error, long startNanos) {
    return new Result(0, "", error, millisSince(startNanos), "");
  }

  private static long millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }
}
