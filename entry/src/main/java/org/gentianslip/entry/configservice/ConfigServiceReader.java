package org.gentianslip.entry.configservice;

import java.io.IOException;
import java.time.Duration;
import okhttp3.OkHttpClient;
import okhttp3.Request;

/**
 * Reads and watches values of the config service; it never writes.
 *
 * <p>Safe for use by several threads.
 */
public final class ConfigServiceReader {

  private static final long MAX_VALUE_BYTES = 1 << 20;
  private static final Duration READ_SLACK = Duration.ofSeconds(5);

  private final OkHttpClient client;
  private final String address;

  /**
   * Creates a reader.
   *
   * @param client the client whose connections are used
   * @param address the service as {@code IP:PORT}
   */
  public ConfigServiceReader(OkHttpClient client, String address) {
    this.client = client;
    this.address = address;
  }

  /** Reads a value now. */
  public ConfigReadResult read(String key) {
    return call("http://" + address + "/v1/values/" + key, Duration.ZERO);
  }

  /**
   * Waits for a value.
   *
   * @param key the key
   * @param after the last revision that was seen
   * @param wait how long the service may hold the call
   */
  public ConfigReadResult watch(String key, long after, Duration wait) {
    String query = "?after=" + after + "&waitMillis=" + wait.toMillis();
    return call("http://" + address + "/v1/values/" + key + query, wait);
  }

  private ConfigReadResult call(String url, Duration wait) {
    var request = new Request.Builder().url(url).build();
    var patient = client.newBuilder().readTimeout(wait.plus(READ_SLACK)).build();
    try (var response = patient.newCall(request).execute()) {
      return switch (response.code()) {
        case 200 -> found(response);
        case 304, 404 -> new ConfigReadResult.Unchanged();
        default ->
            new ConfigReadResult.Unavailable("The config service answered " + response.code());
      };
    } catch (IOException | NumberFormatException e) {
      return new ConfigReadResult.Unavailable(
          "The config service did not answer: " + e.getMessage());
    }
  }

  private static ConfigReadResult found(okhttp3.Response response) throws IOException {
    long revision = Long.parseLong(response.header("X-Revision", "0"));
    var source = response.body().source();
    if (source.request(MAX_VALUE_BYTES + 1)) {
      return new ConfigReadResult.Unavailable(
          "The value is larger than " + MAX_VALUE_BYTES + " bytes");
    }
    return new ConfigReadResult.Found(revision, source.readByteArray());
  }
}
