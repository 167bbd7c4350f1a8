package org.gentianslip.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;

/**
 * An order as an engine receives it over HTTP. Immutable.
 *
 * @param type one of {@link #TYPES}
 * @param target the model or adapter to load, or the version or role to set
 * @param fence the fencing number
 */
public record ReceivedOrder(String type, String target, ReceivedFence fence) {

  /** The type of orders to load a model. */
  static final String LOAD_MODEL = "load-model";

  /** The type of orders to load an adapter. */
  static final String LOAD_ADAPTER = "load-adapter";

  /** The type of orders to set the version. */
  static final String SET_VERSION = "set-version";

  /** The type of orders to set the role. */
  static final String SET_ROLE = "set-role";

  /** All types of orders. */
  static final Set<String> TYPES = Set.of(LOAD_MODEL, LOAD_ADAPTER, SET_VERSION, SET_ROLE);

  /**
   * Parses an order.
   *
   * @throws IllegalArgumentException if a member is missing or invalid
   */
  static ReceivedOrder parse(JsonNode body) {
    String type = body.path("type").asText();
    if (!TYPES.contains(type)) {
      throw new IllegalArgumentException("unknown type: \"" + type + "\"");
    }
    String target = body.path("target").asText();
    if (target.isEmpty()) {
      throw new IllegalArgumentException("target must be set");
    }
    var fence = body.path("fence");
    if (!fence.isArray() || fence.size() != 2) {
      throw new IllegalArgumentException("fence must be [VERSION, PLACE]: " + fence);
    }
    return new ReceivedOrder(
        type, target, new ReceivedFence(fence.get(0).asLong(), fence.get(1).asLong()));
  }
}
