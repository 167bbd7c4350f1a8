package org.gentianslip.standin.engine;

import java.util.List;

/**
 * What orders have made of an engine. Immutable.
 *
 * @param models the loaded models
 * @param loading the models that are being loaded
 * @param adapters the loaded adapters
 * @param version the version, empty if none was ordered
 * @param role the role, empty if none was ordered
 * @param fence the greatest fence of an accepted order
 * @param accepted the latest accepted orders, the oldest first
 * @param refused the orders refused for an older fence
 */
public record EngineState(
    List<String> models,
    List<String> loading,
    List<String> adapters,
    String version,
    String role,
    Fence fence,
    List<EngineOrder> accepted,
    long refused) {}
