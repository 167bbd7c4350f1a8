package org.gentianslip.demo.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import okhttp3.Headers;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.load.call.HttpClients;

/** An HTTP client for the control interfaces of processes. Thread-safe. */
final class HttpControlClient {

  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final OkHttpClient client = HttpClients.unpooled(TIMEOUT);

  /** Returns the status of the response to a GET request, or -1 if there is none. */
  int status(String address, String path) {
    try (Response response = client.newCall(get(address, path, Headers.EMPTY)).execute()) {
      return response.code();
    } catch (IOException e) {
      return -1;
    }
  }

  String text(String address, String path, Headers headers) throws IOException {
    try (Response response = client.newCall(get(address, path, headers)).execute()) {
      return requireSuccess(response, path);
    }
  }

  /** Returns the body of the response to a GET request, with one character per byte. */
  String latin1(String address, String path) throws IOException {
    try (Response response = client.newCall(get(address, path, Headers.EMPTY)).execute()) {
      return new String(response.body().bytes(), StandardCharsets.ISO_8859_1);
    }
  }

  JsonNode json(String address, String path, Headers headers) throws IOException {
    return JSON.readTree(text(address, path, headers));
  }

  String send(String method, String address, String path, Headers headers, JsonNode body)
      throws IOException {
    Request request =
        new Request.Builder()
            .url("http://" + address + path)
            .headers(headers)
            .method(method, RequestBody.create(JSON.writeValueAsBytes(body), JSON_TYPE))
            .build();
    try (Response response = client.newCall(request).execute()) {
      return requireSuccess(response, path);
    }
  }

  private static Request get(String address, String path, Headers headers) {
    return new Request.Builder().url("http://" + address + path).headers(headers).build();
  }

  private static String requireSuccess(Response response, String path) throws IOException {
    String body = response.body().string();
    if (!response.isSuccessful()) {
      throw new IOException(path + " answered with status " + response.code() + ": " + body);
    }
    return body;
  }
}
