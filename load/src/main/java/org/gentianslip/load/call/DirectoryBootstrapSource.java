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
 * Reads the entry instances from the directory that the config service publishes.
 *
 * <p>Entries in the region of the caller come first. If the directory cannot be read, the last one
 * that was read stays in use. Thread-safe; at most one thread reads the directory at a time.
 */
public final class DirectoryBootstrapSource implements BootstrapSource {

  private static final long REFRESH_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final OkHttpClient client;
  private final String configService;
  private final RegionId region;
  private List<EntryAddress> lastRead = List.of();
  private long readAtNanos;

  /**
   * Creates a source that has not read the directory yet.
   *
   * @param client the HTTP client for reading the directory
   * @param configService the address of the config service, as {@code IP:PORT}
   * @param region the region of the caller
   */
  public DirectoryBootstrapSource(OkHttpClient client, String configService, RegionId region) {
    this.client = client;
    this.configService = configService;
    this.region = region;
  }

  @Override
  public synchronized List<EntryAddress> bootstrapEntries(long nowNanos) throws IOException {
    if (!lastRead.isEmpty() && nowNanos - readAtNanos < REFRESH_NANOS) {
      return lastRead;
    }
    try {
      lastRead = readDirectory();
      readAtNanos = nowNanos;
    } catch (IOException e) {
      if (lastRead.isEmpty()) {
        throw e;
      }
    }
    return lastRead;
  }

  private List<EntryAddress> readDirectory() throws IOException {
    Request request =
        new Request.Builder().url("http://" + configService + "/v1/values/directory").build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException("cannot read the directory of entries: status " + response.code());
      }
      JsonNode directory = JSON.readTree(response.body().bytes());
      List<EntryAddress> entries =
          EntryAddress.parseList(directory.path("entries"), "callerAddress");
      return entries.stream()
          .sorted((a, b) -> Boolean.compare(b.region().equals(region), a.region().equals(region)))
          .toList();
    }
  }
}
