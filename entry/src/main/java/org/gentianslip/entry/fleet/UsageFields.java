package org.gentianslip.entry.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.quota.QuotaUsage;

/**
 * The JSON form of usage by customer: for each name the tokens of the window and the tokens
 * requested per second. Stateless and safe for use by several threads.
 */
final class UsageFields {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The longest part of a bad entry in a log line, in characters. */
  private static final int MAX_LOGGED_CHARS = 40;

  /** The largest number that is accepted, so that sums stay finite. */
  private static final double MAX_TOKENS = 1e15;

  private static final double PARTS_PER_UNIT = 1_000;

  private UsageFields() {}

  static Map<String, JsonNode> of(Map<CustomerId, QuotaUsage> usage) {
    Map<String, JsonNode> fields = new HashMap<>();
    usage.forEach(
        (customer, u) -> {
          ArrayNode numbers = JsonNodeFactory.instance.arrayNode(2);
          numbers.add(Math.round(u.windowTokens()));
          // A rate below one a second must not disappear if many instances have one.
          numbers.add(Math.round(u.requestedPerSecond() * PARTS_PER_UNIT) / PARTS_PER_UNIT);
          fields.put(customer.value(), numbers);
        });
    return fields;
  }

  /** Returns the usage without entries that cannot be read, which are logged. */
  static Map<CustomerId, QuotaUsage> read(Map<String, JsonNode> fields) {
    Map<CustomerId, QuotaUsage> usage = new HashMap<>();
    fields.forEach(
        (name, numbers) -> {
          try {
            usage.put(CustomerId.of(name), readOne(numbers));
          } catch (IllegalArgumentException e) {
            LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                "fleet: event=bad-usage customer=%s stated=%s use=none",
                shortened(name), shortened(String.valueOf(numbers)));
          }
        });
    return usage;
  }

  private static QuotaUsage readOne(JsonNode numbers) {
    if (numbers == null || !numbers.path(0).isNumber() || !numbers.path(1).isNumber()) {
      throw new IllegalArgumentException("Usage must be two numbers: " + numbers);
    }
    double tokens = numbers.get(0).doubleValue();
    double perSecond = numbers.get(1).doubleValue();
    if (tokens > MAX_TOKENS || perSecond > MAX_TOKENS) {
      throw new IllegalArgumentException("Usage is too large: " + numbers);
    }
    return new QuotaUsage(tokens, perSecond);
  }

  private static String shortened(String text) {
    return text.substring(0, Math.min(MAX_LOGGED_CHARS, text.length()));
  }
}
