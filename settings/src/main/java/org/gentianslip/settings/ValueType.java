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
 * Reads and writes the values of one type and range.
 *
 * <p>What {@link #read} accepts is what {@link #allowed()} tells. Immutable and safe for use by
 * several threads.
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

  /** Returns the type of durations that are written in whole milliseconds. */
  static ValueType<Duration> millis(long min, long max) {
    return new ValueType<>(
        "milliseconds",
        wholeNumbers(min, max),
        n -> {
          require(n.isIntegralNumber() && n.canConvertToLong() && within(n.longValue(), min, max));
          return Duration.ofMillis(n.longValue());
        },
        d -> JSON.numberNode(d.toMillis()));
  }

  /** Returns the type of whole numbers. */
  static ValueType<Integer> wholeNumber(String unit, int min, int max) {
    return new ValueType<>(
        unit,
        wholeNumbers(min, max),
        n -> {
          require(n.isIntegralNumber() && n.canConvertToInt() && within(n.intValue(), min, max));
          return n.intValue();
        },
        JSON::numberNode);
  }

  /** Returns the type of numbers. */
  static ValueType<Double> number(String unit, double min, double max) {
    return new ValueType<>(
        unit,
        "a number from " + plain(min) + " to " + plain(max),
        n -> {
          require(n.isNumber() && n.doubleValue() >= min && n.doubleValue() <= max);
          return n.doubleValue();
        },
        JSON::numberNode);
  }

  /** Returns the type of shares of a whole. */
  static ValueType<Double> share() {
    return number("share of 1", 0, 1);
  }

  /** Returns the type of switches. */
  static ValueType<Boolean> flag() {
    return new ValueType<>(
        "",
        "true or false",
        n -> {
          require(n.isBoolean());
          return n.booleanValue();
        },
        JSON::booleanNode);
  }

  /** Returns the type of texts out of a list. */
  static ValueType<String> oneOf(String... texts) {
    return new ValueType<>(
        "",
        "one of " + quotedList(List.of(texts)),
        n -> {
          require(n.isTextual() && Arrays.asList(texts).contains(n.textValue()));
          return n.textValue();
        },
        JSON::textNode);
  }

  /** Returns the type of ranks. */
  static ValueType<Rank> rank() {
    ValueType<String> names = oneOf("urgent", "other");
    return new ValueType<>(
        "",
        names.allowed,
        n -> Rank.valueOf(names.reader.apply(n).toUpperCase(Locale.ROOT)),
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
        n -> {
          require(n.isTextual() && n.textValue().length() <= MAX_NAME_LENGTH);
          return n.textValue();
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

  /** Returns what is allowed, as a phrase. */
  String allowed() {
    return allowed;
  }

  /**
   * Reads a value.
   *
   * @throws IllegalArgumentException if the value is not allowed
   */
  T read(JsonNode node) {
    return reader.apply(node);
  }

  /** Returns the value as it is written in a document. */
  JsonNode write(T value) {
    return writer.apply(value);
  }

  private static void require(boolean allowed) {
    if (!allowed) {
      throw new IllegalArgumentException("The value is not allowed");
    }
  }

  private static boolean within(long value, long min, long max) {
    return value >= min && value <= max;
  }

  private static String wholeNumbers(long min, long max) {
    return "a whole number from " + min + " to " + max;
  }

  private static String plain(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  private static String quotedList(List<String> texts) {
    return texts.stream().map(t -> "\"" + t + "\"").collect(Collectors.joining(", "));
  }
}
