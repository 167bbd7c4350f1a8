package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;

/**
 * Converts the values of one type and range from and to JSON.
 *
 * <p>{@link #read} accepts exactly the values that {@link #allowed()} describes. Immutable and safe
 * for use by several threads.
 *
 * @param <T> the type of the value
 */
final class ValueType<T> {

  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
  private static final int MAX_NAME_LENGTH = 128;

  private final String unit;
  private final String allowed;
  private final Function<JsonNode, T> reader;
  private final Function<T, JsonNode> writer;

  private ValueType(
      String unit, String allowed, Function<JsonNode, T> reader, Function<T, JsonNode> writer) {
    this.unit = unit;
    this.allowed = allowed;
    this.reader = reader;
    this.writer = writer;
  }

  /** Returns the type of durations, written as whole milliseconds. */
  static ValueType<Duration> millis(long min, long max) {
    return new ValueType<>(
        "milliseconds",
        wholeNumberPhrase(min, max),
        node -> {
          require(
              node.isIntegralNumber()
                  && node.canConvertToLong()
                  && isInRange(node.longValue(), min, max));
          return Duration.ofMillis(node.longValue());
        },
        d -> JSON.numberNode(d.toMillis()));
  }

  /** Returns the type of whole numbers within a range. */
  static ValueType<Integer> wholeNumber(String unit, int min, int max) {
    return new ValueType<>(
        unit,
        wholeNumberPhrase(min, max),
        node -> {
          require(
              node.isIntegralNumber()
                  && node.canConvertToInt()
                  && isInRange(node.intValue(), min, max));
          return node.intValue();
        },
        JSON::numberNode);
  }

  /** Returns the type of numbers within a range. */
  static ValueType<Double> number(String unit, double min, double max) {
    return new ValueType<>(
        unit,
        "a number from " + formatNumber(min) + " to " + formatNumber(max),
        node -> {
          require(node.isNumber() && node.doubleValue() >= min && node.doubleValue() <= max);
          return node.doubleValue();
        },
        JSON::numberNode);
  }

  /** Returns the type of shares, from 0 to 1. */
  static ValueType<Double> share() {
    return number("share of 1", 0, 1);
  }

  /** Returns the type of booleans. */
  static ValueType<Boolean> flag() {
    return new ValueType<>(
        "",
        "true or false",
        node -> {
          require(node.isBoolean());
          return node.booleanValue();
        },
        JSON::booleanNode);
  }

  /** Returns the type of strings that are one of the given texts. */
  static ValueType<String> oneOf(String... texts) {
    return new ValueType<>(
        "",
        "one of " + joinQuoted(List.of(texts)),
        node -> {
          require(node.isTextual() && Arrays.asList(texts).contains(node.textValue()));
          return node.textValue();
        },
        JSON::textNode);
  }

  /** Returns the type of ranks. */
  static ValueType<Rank> rank() {
    ValueType<String> names = oneOf("urgent", "other");
    return new ValueType<>(
        "",
        names.allowed,
        node -> Rank.valueOf(names.reader.apply(node).toUpperCase(Locale.ROOT)),
        r -> JSON.textNode(r.name().toLowerCase(Locale.ROOT)));
  }

  /** Returns the type of sets of regions; a set in a document names at least one region. */
  static ValueType<Set<RegionId>> regions() {
    return new ValueType<>(
        "",
        "a list of at least one region id",
        ValueType::readRegions,
        regions -> {
          ArrayNode array = JSON.arrayNode();
          regions.forEach(r -> array.add(r.value()));
          return array;
        });
  }

  /** Returns the type of names, which may be empty. */
  static ValueType<String> name() {
    return new ValueType<>(
        "",
        "a text of at most " + MAX_NAME_LENGTH + " characters",
        node -> {
          require(node.isTextual() && node.textValue().length() <= MAX_NAME_LENGTH);
          return node.textValue();
        },
        JSON::textNode);
  }

  /** Returns the type of sets of names. */
  static ValueType<Set<String>> names() {
    return new ValueType<>(
        "",
        "a list of names",
        ValueType::readNames,
        names -> {
          ArrayNode array = JSON.arrayNode();
          names.forEach(array::add);
          return array;
        });
  }

  private static Set<String> readNames(JsonNode node) {
    require(node.isArray());
    var names = new TreeSet<String>();
    for (JsonNode element : node) {
      require(element.isTextual() && !element.textValue().isEmpty());
      require(element.textValue().length() <= MAX_NAME_LENGTH);
      names.add(element.textValue());
    }
    return Collections.unmodifiableSet(names);
  }

  private static Set<RegionId> readRegions(JsonNode node) {
    require(node.isArray() && !node.isEmpty());
    var regions = new TreeSet<RegionId>();
    for (JsonNode element : node) {
      require(element.isTextual());
      regions.add(RegionId.of(element.textValue()));
    }
    return Collections.unmodifiableSet(regions);
  }

  /** Returns the unit, empty if the value has none. */
  String unit() {
    return unit;
  }

  /** Returns the allowed values, as a phrase. */
  String allowed() {
    return allowed;
  }

  /**
   * Converts a value from JSON.
   *
   * @throws IllegalArgumentException if the value is not allowed
   */
  T read(JsonNode node) {
    return reader.apply(node);
  }

  /** Converts a value to the JSON form that documents use. */
  JsonNode write(T value) {
    return writer.apply(value);
  }

  private static void require(boolean isAllowed) {
    if (!isAllowed) {
      throw new IllegalArgumentException("The value is not allowed");
    }
  }

  private static boolean isInRange(long value, long min, long max) {
    return value >= min && value <= max;
  }

  private static String wholeNumberPhrase(long min, long max) {
    return "a whole number from " + min + " to " + max;
  }

  private static String formatNumber(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  private static String joinQuoted(List<String> texts) {
    return texts.stream().map(t -> "\"" + t + "\"").collect(Collectors.joining(", "));
  }
}
