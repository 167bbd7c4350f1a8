package org.gentianslip.entry.configservice;

import java.io.IOException;
import java.time.Duration;
import okhttp3.OkHttpClient;
import okhttp3.Request;

/**
 * Reads and watches values of the config service.
 *
 * <p>Safe for use by several threads.
 */
public final class ConfigServiceReader {

  private static final long MAX_VALUE_BYTES = 1 << 20;

  /** The time allowed for a response in addition to the requested wait. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

  private final OkHttpClient client;
  private final String address;

  /**
   * Creates a reader.
   *
   * @param client the HTTP client to use
   * @param address the address of the config service, as {@code IP:PORT}
   */
  public ConfigServiceReader(OkHttpClient client, String address) {
    this.client = client;
    this.address = address;
  }

  /** Reads the current value of a key. */
  public ConfigReadResult read(String key) {
    return call("http://" + address + "/v1/values/" + key, Duration.ZERO);
  }

  /**
   * Waits for a value with a later revision.
   *
   * @param key the key
   * @param after the last known revision, or 0 to read the current value
   * @param wait how long the service may delay its response
   */
  public ConfigReadResult watch(String key, long after, Duration wait) {
    String query = "?after=" + after + "&waitMillis=" + wait.toMillis();
    return call("http://" + address + "/v1/values/" + key + query, wait);
  }

  private ConfigReadResult call(String url, Duration wait) {
    var request = new Request.Builder().url(url).build();
    Duration timeout = wait.plus(RESPONSE_TIMEOUT);
    var clientWithTimeout = client.newBuilder().readTimeout(timeout).callTimeout(timeout).build();
    try (var response = clientWithTimeout.newCall(request).execute()) {
      return switch (response.code()) {
        case 200 -> toFound(response);
        case 304, 404 -> new ConfigReadResult.Unchanged();
        default -> new ConfigReadResult.Unavailable("it responded with status " + response.code());
      };
    } catch (IOException | NumberFormatException e) {
      return new ConfigReadResult.Unavailable("it did not respond: " + e.getMessage());
    }
  }

  private static ConfigReadResult toFound(okhttp3.Response response) throws IOException {
    long revision = Long.parseLong(response.header("X-Revision", "0"));
    var source = response.body().source();
    if (source.request(MAX_VALUE_BYTES + 1)) {
      return new ConfigReadResult.Unavailable(
          "the value is larger than " + MAX_VALUE_BYTES + " bytes");
    }
    return new ConfigReadResult.Found(revision, source.readByteArray());
  }
}
