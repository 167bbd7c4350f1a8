package org.gentianslip.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Parses a document into a JSON tree and reports syntax errors.
 *
 * <p>Parsing continues after a duplicate key and after a value that is nested too deeply, so that
 * all of them are reported in one run. The first value of a duplicate key is kept. Confined to one
 * thread.
 */
final class DocumentReader {

  /** The maximum size of a document, in bytes. */
  static final int MAX_BYTES = 1 << 20;

  /** The maximum number of objects and arrays that enclose a value. */
  static final int MAX_DEPTH = 16;

  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
  private static final JsonFactory FACTORY =
      JsonFactory.builder().disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION).build();

  private final Location root;
  private final FindingCollector findings;
  private boolean tooDeep;

  private DocumentReader(Location root, FindingCollector findings) {
    this.root = root;
    this.findings = findings;
  }

  /** Returns the object at the root of the document, or empty if it cannot be read. */
  static Optional<ObjectNode> read(SettingsDocument document, FindingCollector findings) {
    Location root = Location.rootOf(document.source());
    return new DocumentReader(root, findings).read(document.content());
  }

  private Optional<ObjectNode> read(byte[] content) {
    if (content.length > MAX_BYTES) {
      findings.add(
          root,
          "The document has " + content.length + " bytes; at most " + MAX_BYTES + " are allowed");
      return Optional.empty();
    }
    return decode(content).flatMap(this::parse);
  }

  private Optional<CharBuffer> decode(byte[] content) {
    var decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPORT)
            .onUnmappableCharacter(CodingErrorAction.REPORT);
    ByteBuffer bytes = ByteBuffer.wrap(content);
    CharBuffer chars = CharBuffer.allocate(content.length);
    if (decoder.decode(bytes, chars, true).isError()) {
      String invalidByte = String.format("0x%02X", bytes.get(bytes.position()));
      findings.add(
          root, "Byte " + invalidByte + " at offset " + bytes.position() + " is not valid UTF-8");
      return Optional.empty();
    }
    return Optional.of(chars.flip());
  }

  private Optional<ObjectNode> parse(CharBuffer chars) {
    try (JsonParser parser = FACTORY.createParser(chars.toString())) {
      JsonToken first = parser.nextToken();
      if (first == null) {
        findings.add(root, "The document is empty; it must be a JSON object");
        return Optional.empty();
      }
      JsonNode node = readValue(parser, root, 0);
      if (parser.nextToken() != null) {
        findings.add(root, "The document has content after its JSON object" + positionOf(parser));
        return Optional.empty();
      }
      if (node instanceof ObjectNode object) {
        return Optional.of(object);
      }
      findings.add(root, "The document must be a JSON object, but is " + Excerpt.of(node));
    } catch (StreamConstraintsException e) {
      if (!tooDeep) {
        findings.add(
            root, "The document exceeds a limit of the JSON parser: " + e.getOriginalMessage());
      }
    } catch (JsonProcessingException e) {
      findings.add(
          root, "The document is not valid JSON" + positionOf(e) + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new IllegalStateException("Reading JSON from memory failed", e);
    }
    return Optional.empty();
  }

  private JsonNode readValue(JsonParser parser, Location location, int depth) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT ->
          isTooDeep(parser, location, depth)
              ? JSON.objectNode()
              : readObject(parser, location, depth);
      case START_ARRAY ->
          isTooDeep(parser, location, depth)
              ? JSON.arrayNode()
              : readArray(parser, location, depth);
      case VALUE_NUMBER_INT -> JSON.numberNode(parser.getBigIntegerValue());
      case VALUE_NUMBER_FLOAT -> JSON.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> JSON.booleanNode(true);
      case VALUE_FALSE -> JSON.booleanNode(false);
      case VALUE_NULL -> JSON.nullNode();
      default -> JSON.textNode(parser.getText());
    };
  }

  private boolean isTooDeep(JsonParser parser, Location location, int depth) throws IOException {
    if (depth < MAX_DEPTH) {
      return false;
    }
    tooDeep = true;
    findings.add(location, "The value is nested deeper than " + MAX_DEPTH + " levels");
    parser.skipChildren();
    return true;
  }

  private ObjectNode readObject(JsonParser parser, Location location, int depth)
      throws IOException {
    ObjectNode object = JSON.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      Location member = location.at(key);
      parser.nextToken();
      JsonNode value = readValue(parser, member, depth + 1);
      if (object.has(key)) {
        findings.add(
            member,
            "Duplicate key " + Excerpt.of(key) + positionOf(parser) + "; a key may occur once");
      } else {
        object.set(key, value);
      }
    }
    return object;
  }

  private ArrayNode readArray(JsonParser parser, Location location, int depth) throws IOException {
    ArrayNode array = JSON.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(readValue(parser, location.at(array.size()), depth + 1));
    }
    return array;
  }

  private static String positionOf(JsonParser parser) {
    var location = parser.currentTokenLocation();
    return formatPosition(location.getLineNr(), location.getColumnNr());
  }

  private static String positionOf(JsonProcessingException e) {
    var location = e.getLocation();
    return location == null ? "" : formatPosition(location.getLineNr(), location.getColumnNr());
  }

  private static String formatPosition(int line, int column) {
    return " (line " + line + ", column " + column + ")";
  }
}
