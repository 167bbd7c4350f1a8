package org.gentianslip.load.call;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;

/**
 * Queries an entry instance for the entries to use, and caches its answer until it expires.
 *
 * <p>A refusal that names entries replaces the cached list but keeps its expiry time; a refusal
 * that names no entry invalidates the list. Thread-safe; for each customer and kind, at most one
 * thread queries at a time.
 */
public final class CachingEntryFinder implements EntryFinder {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long DEFAULT_VALID_MILLIS = 1_000;

  private final OkHttpClient client;
  private final BootstrapSource bootstrap;
  private final ConcurrentMap<ListKey, CachedList> cache = new ConcurrentHashMap<>();

  /**
   * Creates a finder with an empty cache.
   *
   * @param client the HTTP client for the queries
   * @param bootstrap the source of the entries to query
   */
  public CachingEntryFinder(OkHttpClient client, BootstrapSource bootstrap) {
    this.client = client;
    this.bootstrap = bootstrap;
  }

  @Override
  public List<EntryAddress> find(CustomerId customer, KindId kind, long nowNanos)
      throws IOException {
    ListKey key = new ListKey(customer, kind);
    CachedList cached = cache.computeIfAbsent(key, k -> new CachedList());
    synchronized (cached) {
      if (cached.entries.isEmpty() || nowNanos - cached.expiresNanos >= 0) {
        refresh(key, cached, nowNanos);
      }
      return cached.entries;
    }
  }

  @Override
  public void recordRefusal(CustomerId customer, KindId kind, List<EntryAddress> offered) {
    CachedList cached = cache.get(new ListKey(customer, kind));
    if (cached == null) {
      return;
    }
    synchronized (cached) {
      cached.entries = List.copyOf(offered);
    }
  }

  private void refresh(ListKey key, CachedList cached, long nowNanos) throws IOException {
    IOException lastFailure = new IOException("no entry instance is known");
    for (EntryAddress bootstrapEntry : bootstrap.bootstrapEntries(nowNanos)) {
      try {
        JsonNode answer = queryEntries(bootstrapEntry, key);
        List<EntryAddress> entries = EntryAddress.parseList(answer.path("entries"), "address");
        if (entries.isEmpty()) {
          lastFailure = new IOException(bootstrapEntry.id() + " returned no entry for " + key);
          continue;
        }
        cached.entries = entries;
        long validMillis = answer.path("validMillis").asLong(DEFAULT_VALID_MILLIS);
        cached.expiresNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(validMillis);
        return;
      } catch (IOException e) {
        lastFailure = e;
      }
    }
    throw lastFailure;
  }

  private JsonNode queryEntries(EntryAddress bootstrapEntry, ListKey key) throws IOException {
    HttpUrl url =
        HttpUrl.get("http://" + bootstrapEntry.address() + "/v1/entries")
            .newBuilder()
            .addQueryParameter("customer", key.customer().value())
            .addQueryParameter("kind", key.kind().value())
            .build();
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException(
            bootstrapEntry.id() + " did not return its list of entries: status " + response.code());
      }
      return JSON.readTree(response.body().bytes());
    }
  }

  /** The key of a cached list of entries. Immutable and thread-safe. */
  private record ListKey(CustomerId customer, KindId kind) {}

  /** A cached list of entries and its expiry time. Guarded by its own monitor. */
  private static final class CachedList {
    private List<EntryAddress> entries = List.of();
    private long expiresNanos;
  }
}
