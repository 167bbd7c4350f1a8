package org.gentianslip.core.customer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gentianslip.core.hash.SipHash;
import org.gentianslip.core.id.CustomerId;

/**
 * The customers of one version of the configuration, by key and by id.
 *
 * <p>The time of a lookup reveals nothing about the keys: candidates are found by a hash keyed with
 * a secret seed, and compared in constant time. Keys appear in no text that this class returns.
 * Immutable and thread-safe.
 */
public final class CustomerTable {

  /** The maximum length of a key, in bytes; longer ones belong to nobody. */
  public static final int MAX_KEY_BYTES = 1_024;

  private final SipHash hash;
  private final Map<Long, List<Entry>> byHash = new HashMap<>();
  private final Map<CustomerId, Customer> byId = new HashMap<>();
  private boolean complete = true;

  /** A key and its owner. Not a record, as the text of a record would show the key. */
  private static final class Entry {

    private final byte[] key;
    private final Customer customer;

    private Entry(byte[] key, Customer customer) {
      this.key = key;
      this.customer = customer;
    }
  }

  private CustomerTable(SipHash hash) {
    this.hash = hash;
  }

  /** Collects the customers of a table. Not thread-safe. */
  public static final class Builder {

    private final CustomerTable table;

    private Builder(SipHash hash) {
      table = new CustomerTable(hash);
    }

    /**
     * Adds a customer.
     *
     * @return whether it was added; it is left out if there is one with the same id
     */
    public boolean add(Customer customer) {
      return table.byId.putIfAbsent(customer.id(), customer) == null;
    }

    /**
     * Adds a key of a customer that was added before.
     *
     * @return whether the customer holds the key; it is left out if it is empty, too long, or held
     *     by another customer
     * @throws IllegalArgumentException if there is no such customer
     */
    public boolean addKey(CustomerId id, String text) {
      Customer customer = table.byId.get(id);
      if (customer == null) {
        throw new IllegalArgumentException("No such customer: " + id);
      }
      byte[] key = text.getBytes(StandardCharsets.UTF_8);
      if (key.length == 0 || key.length > MAX_KEY_BYTES) {
        return false;
      }
      Optional<Customer> holder = table.findByKey(key);
      if (holder.isPresent()) {
        return holder.get().id().equals(id);
      }
      table
          .byHash
          .computeIfAbsent(table.hash.hash(key), h -> new ArrayList<>())
          .add(new Entry(key, customer));
      return true;
    }

    /** Records that a customer or a key of the configuration was left out as unreadable. */
    public void markIncomplete() {
      table.complete = false;
    }

    /** Returns the table; this builder must not be used afterwards. */
    public CustomerTable build() {
      return table;
    }
  }

  /**
   * Returns a builder of a table.
   *
   * @param hash a hash whose seed is secret
   */
  public static Builder builder(SipHash hash) {
    return new Builder(hash);
  }

  /** Returns the customer that holds a key, if any. */
  public Optional<Customer> findByKey(byte[] key) {
    if (key.length == 0 || key.length > MAX_KEY_BYTES) {
      return Optional.empty();
    }
    for (Entry entry : byHash.getOrDefault(hash.hash(key), List.of())) {
      if (MessageDigest.isEqual(entry.key, key)) {
        return Optional.of(entry.customer);
      }
    }
    return Optional.empty();
  }

  /** Returns the hash of a key, which tells nothing about it without the seed. */
  long hashOf(byte[] key) {
    return hash.hash(key);
  }

  /** Returns whether a key with a hash is held. */
  boolean holds(long keyHash) {
    return byHash.containsKey(keyHash);
  }

  /** Returns the customers of the keys that this table holds and another one does not, by hash. */
  Map<Long, CustomerId> holdersMissingIn(CustomerTable other) {
    Map<Long, CustomerId> missing = new HashMap<>();
    byHash.forEach(
        (keyHash, entries) -> {
          if (!other.byHash.containsKey(keyHash)) {
            missing.put(keyHash, entries.get(0).customer.id());
          }
        });
    return missing;
  }

  /** Returns the customer with an id, if it is known. */
  public Optional<Customer> find(CustomerId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns all customers, in no order. */
  public Collection<Customer> customers() {
    return Collections.unmodifiableCollection(byId.values());
  }

  /** Returns whether each key of the configuration is held, so that any other one is unknown. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns the number of customers. */
  public int size() {
    return byId.size();
  }
}
