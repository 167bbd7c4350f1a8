package org.gentianslip.load.call;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.gentianslip.core.id.RegionId;

/**
 * Reads the contacts from the directory that the config service publishes.
 *
 * <p>Contacts of the caller's region come first. A directory that cannot be read leaves the last
 * one in use. Safe for use by several threads; one reads at a time.
 */
public final class DirectoryContacts implements ContactSource {

  private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final OkHttpClient client;
  private final String configService;
  private final RegionId region;
  private List<EntryAddress> known = List.of();
  private long readAtNanos;

  /**
   * Makes a source.
   *
   * @param client the client to read with
   * @param configService the config service's address as {@code IP:PORT}
   * @param region the caller's region
   */
  public DirectoryContacts(OkHttpClient client, String configService, RegionId region) {
    this.client = client;
    this.configService = configService;
    this.region = region;
  }

  @Override
  public synchronized List<EntryAddress> contacts(long nowNanos) throws IOException {
    if (!known.isEmpty() && nowNanos - readAtNanos < LIFETIME_NANOS) {
      return known;
    }
    try {
      known = read();
      readAtNanos = nowNanos;
    } catch (IOException e) {
      if (known.isEmpty()) {
        throw e;
      }
    }
    return known;
  }

  private List<EntryAddress> read() throws IOException {
    Request request =
        new Request.Builder().url("http://" + configService + "/v1/values/directory").build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException("the directory cannot be read: status " + response.code());
      }
      JsonNode root = JSON.readTree(response.body().bytes());
      List<EntryAddress> all = EntryAddress.listOf(root.path("entries"), "callerAddress");
      return all.stream()
          .sorted((a, b) -> Boolean.compare(b.region().equals(region), a.region().equals(region)))
          .toList();
    }
  }
}
