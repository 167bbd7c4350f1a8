package org.gentianslip.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;

/**
 * An order to an engine. Immutable.
 *
 * @param type one of {@link #TYPES}
 * @param target what to load, or the version or role to take
 * @param fence the fencing number
 */
public record EngineOrder(String type, String target, Fence fence) {

  /** Orders to load a model. */
  static final String LOAD_MODEL = "load-model";

  /** Orders to load an adapter. */
  static final String LOAD_ADAPTER = "load-adapter";

  /** Orders to take a version. */
  static final String SET_VERSION = "set-version";

  /** Orders to take a role. */
  static final String SET_ROLE = "set-role";

  /** The types of orders. */
  static final Set<String> TYPES = Set.of(LOAD_MODEL, LOAD_ADAPTER, SET_VERSION, SET_ROLE);

  /**
   * Reads an order.
   *
   * @throws IllegalArgumentException if a member is missing or invalid
   */
  static EngineOrder parse(JsonNode body) {
    String type = body.path("type").asText();
    if (!TYPES.contains(type)) {
      throw new IllegalArgumentException("type is unknown: \"" + type + "\"");
    }
    String target = body.path("target").asText();
    if (target.isEmpty()) {
      throw new IllegalArgumentException("target must be set");
    }
    var fence = body.path("fence");
    if (!fence.isArray() || fence.size() != 2) {
      throw new IllegalArgumentException("fence must be [VERSION, PLACE]: " + fence);
    }
    return new EngineOrder(type, target, new Fence(fence.get(0).asLong(), fence.get(1).asLong()));
  }
}
