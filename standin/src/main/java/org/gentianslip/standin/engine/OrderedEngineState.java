package org.gentianslip.standin.engine;

import java.util.List;

/**
 * The state of an engine that results from the accepted orders. Immutable.
 *
 * @param models the loaded models
 * @param loading the models that are being loaded
 * @param adapters the loaded adapters
 * @param version the version, empty if none was ordered
 * @param role the role, empty if none was ordered
 * @param fence the highest fence of an accepted order
 * @param accepted the most recently accepted orders, oldest first
 * @param refused the number of orders that were refused because of their fence
 */
public record OrderedEngineState(
    List<String> models,
    List<String> loading,
    List<String> adapters,
    String version,
    String role,
    ReceivedFence fence,
    List<ReceivedOrder> accepted,
    long refused) {}
