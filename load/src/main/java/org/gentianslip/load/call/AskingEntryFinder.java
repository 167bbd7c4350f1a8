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
 * Asks an entry instance which entries to use, and keeps the answer for its lifetime.
 *
 * <p>A refusal that names entries replaces the list until it would have expired; one that names
 * none ends its lifetime. Safe for use by several threads; for one customer and kind one asks at a
 * time.
 */
public final class AskingEntryFinder implements EntryFinder {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long DEFAULT_VALID_MILLIS = 1_000;

  private final OkHttpClient client;
  private final ContactSource contacts;
  private final ConcurrentMap<Work, Slot> slots = new ConcurrentHashMap<>();

  /**
   * Makes a finder.
   *
   * @param client the client to ask with
   * @param contacts the entries to ask
   */
  public AskingEntryFinder(OkHttpClient client, ContactSource contacts) {
    this.client = client;
    this.contacts = contacts;
  }

  @Override
  public List<EntryAddress> find(CustomerId customer, KindId kind, long nowNanos)
      throws IOException {
    Work work = new Work(customer, kind);
    Slot slot = slots.computeIfAbsent(work, w -> new Slot());
    synchronized (slot) {
      if (slot.entries.isEmpty() || nowNanos - slot.validUntilNanos >= 0) {
        ask(work, slot, nowNanos);
      }
      return slot.entries;
    }
  }

  @Override
  public void refused(CustomerId customer, KindId kind, List<EntryAddress> offered) {
    Slot slot = slots.get(new Work(customer, kind));
    if (slot == null) {
      return;
    }
    synchronized (slot) {
      slot.entries = List.copyOf(offered);
    }
  }

  private void ask(Work work, Slot slot, long nowNanos) throws IOException {
    IOException last = new IOException("no entry is known");
    for (EntryAddress contact : contacts.contacts(nowNanos)) {
      try {
        JsonNode answer = askOne(contact, work);
        List<EntryAddress> entries = EntryAddress.listOf(answer.path("entries"), "address");
        if (entries.isEmpty()) {
          last = new IOException(contact.id() + " knows no entry for " + work);
          continue;
        }
        slot.entries = entries;
        long validMillis = answer.path("validMillis").asLong(DEFAULT_VALID_MILLIS);
        slot.validUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(validMillis);
        return;
      } catch (IOException e) {
        last = e;
      }
    }
    throw last;
  }

  private JsonNode askOne(EntryAddress contact, Work work) throws IOException {
    HttpUrl url =
        HttpUrl.get("http://" + contact.address() + "/v1/entries")
            .newBuilder()
            .addQueryParameter("customer", work.customer().value())
            .addQueryParameter("kind", work.kind().value())
            .build();
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException(contact.id() + " gives no entries: status " + response.code());
      }
      return JSON.readTree(response.body().bytes());
    }
  }

  /** Names a list of entries. Immutable and safe for use by several threads. */
  private record Work(CustomerId customer, KindId kind) {}

  /** Holds a list of entries and its lifetime. Guarded by its own monitor. */
  private static final class Slot {
    private List<EntryAddress> entries = List.of();
    private long validUntilNanos;
  }
}
