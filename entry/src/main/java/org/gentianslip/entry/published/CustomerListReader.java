package org.gentianslip.entry.published;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.customer.CustomerTable;
import org.gentianslip.core.customer.Quota;
import org.gentianslip.core.hash.SipHash;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.RegionId;

/**
 * Reads a list of customers from JSON.
 *
 * <p>An unreadable customer, key or number is logged, without its value, and left out. A customer
 * with an unreadable region is left out as a whole, as its requests might else be seen where they
 * must not be. Immutable and safe for use by several threads.
 */
public final class CustomerListReader {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final String source;
  private final CustomerFieldNames names;

  /** Holds the hash of keys, which is created only if there are customers. */
  private static final class KeyHash {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final SipHash HASH = new SipHash(RANDOM.nextLong(), RANDOM.nextLong());
  }

  /**
   * Creates a reader.
   *
   * @param source the place of the list, for the log
   */
  public CustomerListReader(String source, CustomerFieldNames names) {
    this.source = source;
    this.names = names;
  }

  /**
   * Returns the customers; empty if there is no list.
   *
   * @throws IOException if there is a value that is no list
   */
  public Optional<CustomerTable> read(JsonNode list) throws IOException {
    if (isAbsent(list)) {
      return Optional.empty();
    }
    if (!list.isArray()) {
      throw new IOException(source + ": must be a list");
    }
    CustomerTable.Builder table = CustomerTable.builder(KeyHash.HASH);
    for (int i = 0; i < list.size(); i++) {
      String place = source + "/" + i;
      try {
        Customer customer = customer(place, list.get(i));
        if (!table.add(customer)) {
          throw new IllegalArgumentException("The name occurs before: " + customer.id());
        }
        addKeys(place, list.get(i).path(names.keys()), customer.id(), table);
      } catch (IllegalArgumentException e) {
        table.markIncomplete();
        logUnreadable(place, e.getMessage());
      }
    }
    return Optional.of(table.build());
  }

  private static boolean isAbsent(JsonNode node) {
    return node.isMissingNode() || node.isNull();
  }

  private Customer customer(String place, JsonNode node) {
    JsonNode id = node.path(names.id());
    if (!id.isTextual()) {
      throw new IllegalArgumentException("The name must be a text");
    }
    return new Customer(
        CustomerId.of(id.textValue()), rank(place, node), regions(node), quota(place, node));
  }

  private Set<RegionId> regions(JsonNode node) {
    JsonNode list = node.path(names.regions());
    if (!isAbsent(list) && !list.isArray()) {
      throw new IllegalArgumentException("The regions must be a list");
    }
    Set<RegionId> regions = new HashSet<>();
    list.forEach(region -> regions.add(RegionId.of(region.asText())));
    return regions;
  }

  private OptionalInt rank(String place, JsonNode node) {
    JsonNode rank = node.path(names.rank());
    if (isAbsent(rank)) {
      return OptionalInt.empty();
    }
    if (!rank.isNumber() || !rank.canConvertToInt() || rank.intValue() < 0) {
      logUnreadable(place + "/" + names.rank(), "must be a number of at least 0");
      return OptionalInt.empty();
    }
    return OptionalInt.of(rank.intValue());
  }

  private Optional<Quota> quota(String place, JsonNode node) {
    JsonNode rate = node.path(names.rate());
    if (isAbsent(rate) || rate.isNumber() && rate.doubleValue() == 0) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new Quota(
              rate.asDouble(-1),
              amount(place, node, names.burst(), 0),
              amount(place, node, names.plainTokens(), 1),
              node.path(names.unit()).asText().equals(names.tokenUnit())));
    } catch (IllegalArgumentException e) {
      logUnreadable(place + "/" + names.rate(), e.getMessage());
      return Optional.empty();
    }
  }

  /** Returns an amount, or the default if it is absent or unreadable. */
  private static double amount(String place, JsonNode node, String name, double defaultAmount) {
    JsonNode amount = node.path(name);
    if (isAbsent(amount)) {
      return defaultAmount;
    }
    if (!amount.isNumber() || !(amount.doubleValue() >= 0)) {
      logUnreadable(place + "/" + name, "must be a number of at least 0");
      return defaultAmount;
    }
    return amount.doubleValue();
  }

  private void addKeys(String place, JsonNode keys, CustomerId id, CustomerTable.Builder table) {
    for (int i = 0; i < keys.size(); i++) {
      // The text of a key must not be logged.
      if (!keys.path(i).isTextual() || !table.addKey(id, keys.path(i).textValue())) {
        table.markIncomplete();
        logUnreadable(
            place + "/" + names.keys() + "/" + i,
            "must be a text of 1 to " + CustomerTable.MAX_KEY_BYTES + " bytes of its own");
      }
    }
  }

  private static void logUnreadable(String place, String cause) {
    LOGGER.atWarning().log("published: event=unreadable item=%s cause=%s", place, cause);
  }
}
