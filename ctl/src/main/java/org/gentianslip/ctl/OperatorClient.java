package org.gentianslip.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * An HTTP client for the operators' port of instances.
 *
 * <p>Requests are never retried. Safe for use by several threads.
 */
final class OperatorClient {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final long MAX_RESPONSE_BYTES = 16L << 20;
  private static final int NOT_FOUND = 404;
  private static final int FORBIDDEN = 403;
  private static final int MAX_MESSAGE_LENGTH = 200;

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .connectTimeout(CONNECT_TIMEOUT)
          .callTimeout(CALL_TIMEOUT)
          .retryOnConnectionFailure(false)
          .followRedirects(false)
          .build();
  private final String key;

  /**
   * Creates a client.
   *
   * @param key the operators' key, which is sent with each request
   */
  OperatorClient(String key) {
    this.key = key;
  }

  /** Sends a GET request to an instance. */
  OperatorResponse get(OperatorAddress address, String... path) {
    return get(address, Map.of(), path);
  }

  /** Sends a GET request with query parameters to an instance. */
  OperatorResponse get(OperatorAddress address, Map<String, String> query, String... path) {
    return execute(address, request(address, query, path).build());
  }

  /** Sends a POST request to an instance. */
  OperatorResponse post(OperatorAddress address, String... path) {
    return execute(address, request(address, Map.of(), path).post(RequestBody.EMPTY).build());
  }

  private Request.Builder request(
      OperatorAddress address, Map<String, String> query, String... path) {
    HttpUrl.Builder url =
        new HttpUrl.Builder().scheme("http").host(address.host()).port(address.port());
    for (String segment : path) {
      url.addPathSegment(segment);
    }
    query.forEach(url::addQueryParameter);
    return new Request.Builder()
        .url(url.build())
        .header("X-Operator-Key", key)
        .header("Accept-Encoding", "identity");
  }

  private OperatorResponse execute(OperatorAddress address, Request request) {
    try (Response response = client.newCall(request).execute()) {
      String text = text(response);
      if (response.isSuccessful()) {
        return new OperatorResponse.Success(MAPPER.readTree(text));
      }
      return failure(address, response.code(), text);
    } catch (JsonProcessingException e) {
      return new OperatorResponse.Refused(
          "The instance at " + address + " did not respond with JSON.");
    } catch (IOException e) {
      return new OperatorResponse.Unreachable(
          "The instance at " + address + " cannot be reached: " + e.getMessage() + ".");
    }
  }

  /**
   * Returns the body as a text.
   *
   * @throws IOException if the body is incomplete or is larger than {@link #MAX_RESPONSE_BYTES}
   */
  private static String text(Response response) throws IOException {
    if (response.body().source().request(MAX_RESPONSE_BYTES + 1)) {
      throw new IOException("The response is larger than " + MAX_RESPONSE_BYTES + " bytes");
    }
    return response.body().string();
  }

  private static OperatorResponse failure(OperatorAddress address, int status, String text) {
    String message = errorMessage(text);
    if (status == NOT_FOUND) {
      return new OperatorResponse.NotFound(message);
    }
    String hint = status == FORBIDDEN ? " Give the key by --operator-key." : "";
    return new OperatorResponse.Refused(
        "The instance at " + address + " answered " + status + ": " + message + hint);
  }

  private static String errorMessage(String text) {
    try {
      JsonNode message = MAPPER.readTree(text).path("error").path("message");
      if (message.isTextual()) {
        return message.textValue();
      }
    } catch (JsonProcessingException e) {
      // The body is not JSON; its text is used as the message.
    }
    return text.length() <= MAX_MESSAGE_LENGTH
        ? text
        : text.substring(0, MAX_MESSAGE_LENGTH) + "...";
  }
}
