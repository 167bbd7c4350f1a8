package org.gentianslip.standin.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * An HTTP client for a stand-in, which never retries a request. Safe for use by several threads.
 */
public final class TestClient {

  private static final OkHttpClient HTTP =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
          .readTimeout(60, TimeUnit.SECONDS)
          .build();

  static {
    HTTP.dispatcher().setMaxRequestsPerHost(64);
  }

  private final IntSupplier port;

  /** Creates a client that asks for the port before each request. */
  public TestClient(IntSupplier port) {
    this.port = port;
  }

  /** An HTTP response. Immutable. */
  public record TestResponse(int status, String body, Map<String, String> headers) {
    /** Returns a header, or null if it is missing. */
    public String header(String name) {
      return headers.get(name);
    }
  }

  /** Sends a GET request and waits for the response. */
  public TestResponse get(String path) throws IOException {
    return call("GET", path, null, Map.of());
  }

  /** Sends a POST request and waits for the response. */
  public TestResponse post(String path, String body) throws IOException {
    return call("POST", path, body, Map.of());
  }

  /** Sends a PUT request and waits for the response. */
  public TestResponse put(String path, String body) throws IOException {
    return call("PUT", path, body, Map.of());
  }

  /** Sends a request and waits for the response. */
  public TestResponse call(String method, String path, String body, Map<String, String> headers)
      throws IOException {
    try {
      return async(method, path, body, headers).get();
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** Sends a request without extra headers and does not wait. */
  public CompletableFuture<TestResponse> async(String method, String path, String body) {
    return async(method, path, method.equals("GET") ? null : body, Map.of());
  }

  /** Sends a request and does not wait. */
  public CompletableFuture<TestResponse> async(
      String method, String path, String body, Map<String, String> headers) {
    return enqueue(prepare(method, path, body, headers));
  }

  /** Sends a prepared call and does not wait. */
  public CompletableFuture<TestResponse> enqueue(Call call) {
    var future = new CompletableFuture<TestResponse>();
    call.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failed, IOException e) {
            future.completeExceptionally(e);
          }

          @Override
          public void onResponse(Call completed, Response response) {
            try (response) {
              var all = new TreeMap<String, String>(String.CASE_INSENSITIVE_ORDER);
              response.headers().forEach(h -> all.put(h.getFirst(), h.getSecond()));
              future.complete(new TestResponse(response.code(), response.body().string(), all));
            } catch (IOException e) {
              future.completeExceptionally(e);
            }
          }
        });
    return future;
  }

  /** Prepares a call without sending it. */
  public Call prepare(String method, String path, String body, Map<String, String> headers) {
    var request = new Request.Builder().url("http://127.0.0.1:" + port.getAsInt() + path);
    headers.forEach(request::header);
    return HTTP.newCall(
        request
            .method(
                method,
                body == null ? null : RequestBody.create(body.getBytes(StandardCharsets.UTF_8)))
            .build());
  }
}
