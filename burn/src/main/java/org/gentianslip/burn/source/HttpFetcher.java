package org.gentianslip.burn.source;

import java.io.IOException;
import java.time.Duration;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Fetches documents over HTTP. Thread-safe. */
public final class HttpFetcher {

  /** The maximum size of a document, in bytes. */
  private static final long MAX_BYTES = 16L << 20;

  private final OkHttpClient client;

  /**
   * Creates a fetcher.
   *
   * @param timeout the maximum duration of one request
   */
  public HttpFetcher(Duration timeout) {
    this.client = new OkHttpClient.Builder().callTimeout(timeout).build();
  }

  /**
   * Returns the document at a path.
   *
   * @throws IOException if there is no successful response in time, or it is too large
   */
  byte[] get(String address, String path) throws IOException {
    Request request =
        new Request.Builder()
            .url("http://" + address + path)
            .header("Accept-Encoding", "identity")
            .build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException(address + path + " answered with status " + response.code());
      }
      if (response.body().source().request(MAX_BYTES + 1)) {
        throw new IOException(address + path + " answered with more than " + MAX_BYTES + " bytes");
      }
      return response.body().bytes();
    }
  }
}
