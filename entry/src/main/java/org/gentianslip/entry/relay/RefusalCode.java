package org.gentianslip.entry.relay;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import okhttp3.Response;
import org.gentianslip.entry.http.Json;

/** Reads the error code of a refusal. Stateless and safe for use by several threads. */
final class RefusalCode {

  private static final long MAX_BYTES = 64 * 1024;

  private RefusalCode() {}

  /** Returns the error code in the body, or {@code refused} if there is none. */
  static String read(Response response) {
    try {
      JsonNode body = Json.parse(response.peekBody(MAX_BYTES).bytes());
      return body.path("error").path("code").asText("refused");
    } catch (IOException e) {
      return "refused";
    }
  }
}
