package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reads the members of one JSON object and reports those that are unknown, missing or of the wrong
 * type.
 *
 * <p>Confined to one thread.
 */
final class ObjectFields {

  private static final String ID_ALLOWED =
      "an id has 1 to 128 letters, digits, dots, hyphens, underscores and colons";

  private final JsonNode object;
  private final Location location;
  private final FindingCollector findings;

  private ObjectFields(JsonNode object, Location location, FindingCollector findings) {
    this.object = object;
    this.location = location;
    this.findings = findings;
  }

  /** Returns the members of the value, or empty with a finding if it is not an object. */
  static Optional<ObjectFields> of(
      Located<JsonNode> value, FindingCollector findings, List<String> known) {
    if (!value.value().isObject()) {
      findings.add(
          value.location(), "The value must be an object, but is " + Excerpt.of(value.value()));
      return Optional.empty();
    }
    var fields = new ObjectFields(value.value(), value.location(), findings);
    fields.reportUnknownKeys(known);
    return Optional.of(fields);
  }

  private void reportUnknownKeys(List<String> known) {
    for (String key : (Iterable<String>) object::fieldNames) {
      if (!known.contains(key)) {
        findings.addUnknown(location.at(key), "key", key, known);
      }
    }
  }

  Location location() {
    return location;
  }

  boolean has(String key) {
    return object.has(key);
  }

  /** Returns the string in a required member. */
  Optional<String> text(String key) {
    Optional<JsonNode> node = required(key);
    if (node.isPresent() && !node.get().isTextual()) {
      findings.add(location.at(key), key + " must be a string, but is " + Excerpt.of(node.get()));
      return Optional.empty();
    }
    return node.map(JsonNode::textValue);
  }

  /** Returns the id in a required member. */
  <T> Optional<T> id(String key, Function<String, T> parser) {
    return text(key).flatMap(t -> parseId(new Located<>(location.at(key), t), parser, findings));
  }

  /** Parses an id, or returns empty with a finding if it is invalid. */
  static <T> Optional<T> parseId(
      Located<String> text, Function<String, T> parser, FindingCollector findings) {
    try {
      return Optional.of(parser.apply(text.value()));
    } catch (IllegalArgumentException e) {
      findings.add(text.location(), e.getMessage() + "; " + ID_ALLOWED);
      return Optional.empty();
    }
  }

  /** Returns the whole number in a required member. */
  Optional<Integer> wholeNumber(String key, int min, int max) {
    Optional<JsonNode> node = required(key);
    if (node.isEmpty()) {
      return Optional.empty();
    }
    JsonNode number = node.get();
    boolean isInt = number.isIntegralNumber() && number.canConvertToInt();
    if (!isInt || number.intValue() < min || number.intValue() > max) {
      findings.add(
          location.at(key),
          String.format(
              "%s must be a whole number from %d to %d, but is %s",
              key, min, max, Excerpt.of(number)));
      return Optional.empty();
    }
    return Optional.of(number.intValue());
  }

  /** Returns the elements of an optional list, or none if it is missing. */
  List<Located<JsonNode>> list(String key) {
    JsonNode node = object.get(key);
    if (node == null) {
      return List.of();
    }
    Location list = location.at(key);
    if (!node.isArray()) {
      findings.add(list, key + " must be a list, but is " + Excerpt.of(node));
      return List.of();
    }
    var elements = new ArrayList<Located<JsonNode>>(node.size());
    for (JsonNode element : node) {
      elements.add(new Located<>(list.at(elements.size()), element));
    }
    return elements;
  }

  /** Returns the strings of an optional list, or none if it is missing. */
  List<Located<String>> texts(String key) {
    var texts = new ArrayList<Located<String>>();
    for (Located<JsonNode> element : list(key)) {
      if (element.value().isTextual()) {
        texts.add(new Located<>(element.location(), element.value().textValue()));
      } else {
        findings.add(
            element.location(),
            "The element must be a string, but is " + Excerpt.of(element.value()));
      }
    }
    return texts;
  }

  /** Returns the member with the given key, or empty if it is missing. */
  Optional<Located<JsonNode>> member(String key) {
    return Optional.ofNullable(object.get(key)).map(n -> new Located<>(location.at(key), n));
  }

  private Optional<JsonNode> required(String key) {
    JsonNode node = object.get(key);
    if (node == null) {
      findings.add(location, "The key \"" + key + "\" is missing");
    }
    return Optional.ofNullable(node);
  }
}
