package org.gentianslip.burn.source;

import java.io.IOException;
import java.time.Duration;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Reads documents over HTTP. Safe for use by several threads. */
public final class HttpReader {

  private final OkHttpClient client;

  /**
   * Makes a reader.
   *
   * @param timeout the longest time of one reading
   */
  public HttpReader(Duration timeout) {
    this.client = new OkHttpClient.Builder().callTimeout(timeout).build();
  }

  /**
   * Returns the document at a path.
   *
   * @throws IOException if there is no successful answer in time
   */
  byte[] get(String address, String path) throws IOException {
    Request request = new Request.Builder().url("http://" + address + path).build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException(address + path + " answered " + response.code());
      }
      return response.body().bytes();
    }
  }
}
