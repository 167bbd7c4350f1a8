package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reads the members of one JSON object and finds those that are unknown, missing or of the wrong
 * type.
 *
 * <p>Used by one thread.
 */
final class ObjectFields {

  private static final String ID_ALLOWED =
      "an id has 1 to 128 letters, digits, dots, hyphens, underscores and colons";

  private final JsonNode object;
  private final Place place;
  private final FindingCollector findings;

  private ObjectFields(JsonNode object, Place place, FindingCollector findings) {
    this.object = object;
    this.place = place;
    this.findings = findings;
  }

  /** Returns the members of the value, or nothing if it is no object. */
  static Optional<ObjectFields> of(
      Located<JsonNode> value, FindingCollector findings, List<String> known) {
    if (!value.value().isObject()) {
      findings.add(
          value.place(), "The value must be an object, but is " + Excerpt.of(value.value()));
      return Optional.empty();
    }
    var fields = new ObjectFields(value.value(), value.place(), findings);
    fields.findUnknown(known);
    return Optional.of(fields);
  }

  private void findUnknown(List<String> known) {
    for (String key : (Iterable<String>) object::fieldNames) {
      if (!known.contains(key)) {
        findings.addUnknown(place.at(key), "key", key, known);
      }
    }
  }

  Place place() {
    return place;
  }

  boolean has(String key) {
    return object.has(key);
  }

  /** Returns the text of a member that must be there. */
  Optional<String> text(String key) {
    Optional<JsonNode> node = required(key);
    if (node.isPresent() && !node.get().isTextual()) {
      findings.add(place.at(key), key + " must be a text, but is " + Excerpt.of(node.get()));
      return Optional.empty();
    }
    return node.map(JsonNode::textValue);
  }

  /** Returns the id in a member that must be there. */
  <T> Optional<T> id(String key, Function<String, T> reader) {
    return text(key).flatMap(t -> readId(new Located<>(place.at(key), t), reader, findings));
  }

  /** Returns the id that a text stands for. */
  static <T> Optional<T> readId(
      Located<String> text, Function<String, T> reader, FindingCollector findings) {
    try {
      return Optional.of(reader.apply(text.value()));
    } catch (IllegalArgumentException e) {
      findings.add(text.place(), e.getMessage() + "; " + ID_ALLOWED);
      return Optional.empty();
    }
  }

  /** Returns the whole number in a member that must be there. */
  Optional<Integer> wholeNumber(String key, int min, int max) {
    Optional<JsonNode> node = required(key);
    if (node.isEmpty()) {
      return Optional.empty();
    }
    JsonNode number = node.get();
    boolean whole = number.isIntegralNumber() && number.canConvertToInt();
    if (!whole || number.intValue() < min || number.intValue() > max) {
      findings.add(
          place.at(key),
          String.format(
              "%s must be a whole number from %d to %d, but is %s",
              key, min, max, Excerpt.of(number)));
      return Optional.empty();
    }
    return Optional.of(number.intValue());
  }

  /** Returns the elements of a list; a missing one counts as empty. */
  List<Located<JsonNode>> list(String key) {
    JsonNode node = object.get(key);
    if (node == null) {
      return List.of();
    }
    Place list = place.at(key);
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

  /** Returns the texts of a list; a missing one counts as empty. */
  List<Located<String>> texts(String key) {
    var texts = new ArrayList<Located<String>>();
    for (Located<JsonNode> element : list(key)) {
      if (element.value().isTextual()) {
        texts.add(new Located<>(element.place(), element.value().textValue()));
      } else {
        findings.add(
            element.place(), "The element must be a text, but is " + Excerpt.of(element.value()));
      }
    }
    return texts;
  }

  /** Returns the member with the given key; a missing one counts as an empty object. */
  Optional<Located<JsonNode>> member(String key) {
    return Optional.ofNullable(object.get(key)).map(n -> new Located<>(place.at(key), n));
  }

  private Optional<JsonNode> required(String key) {
    JsonNode node = object.get(key);
    if (node == null) {
      findings.add(place, "The key \"" + key + "\" is missing");
    }
    return Optional.ofNullable(node);
  }
}
