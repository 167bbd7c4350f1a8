import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client: each request goes over a new connection, once. Stateless. */
final class Client {

  private Client() {}

  /**
   * What a client has got.
   *
   * @param status the status, or 0 if there was no answer
   * @param body the body as far as it was read
   * @param whole whether the body is whole
   */
  record Answer(int status, Map<String, String> headers, String body, boolean whole) {}

  /** Sends a request and reads the answer to its end. */
  static Answer send(Instance to, Record record, String request, String id) {
    record.line("client sends %s to %s: %s", id, to.name(), request.split("\r\n", 2)[0]);
    Answer answer = exchange(to, request);
    record.line(
        "client gets %s: status %d%s, %d bytes",
        id, answer.status(), answer.whole() ? "" : ", not whole", answer.body().length());
    return answer;
  }

  private static Answer exchange(Instance to, String request) {
    int status = 0;
    Map<String, String> headers = Map.of();
    var body = new ByteArrayOutputStream();
    try (Socket socket = to.connect()) {
      socket.setSoTimeout(15_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      Http.Head head = Http.readHead(in);
      if (head == null) {
        return new Answer(0, headers, "", false);
      }
      status = head.status();
      headers = head.headers();
      if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
        byte[] chunk = Http.readChunk(in);
        while (chunk.length > 0) {
          body.writeBytes(chunk);
          chunk = Http.readChunk(in);
        }
      } else {
        String length = head.header("Content-Length");
        body.writeBytes(Http.readExactly(in, length.isEmpty() ? 0 : Integer.parseInt(length)));
      }
      return new Answer(status, headers, body.toString(StandardCharsets.UTF_8), true);
    } catch (IOException e) {
      return new Answer(status, headers, body.toString(StandardCharsets.UTF_8), false);
    }
  }
}
