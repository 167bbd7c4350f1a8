package org.gentianslip.standin.engine;

import java.util.List;

/**
 * The load report of an engine. Immutable.
 *
 * @param slots the most requests in the batch
 * @param running the requests in the batch
 * @param waiting the requests that wait for a slot
 * @param atMillis when the report was made, in milliseconds since 1970
 * @param leaving whether the engine takes no new requests
 * @param models the loaded models
 */
public record EngineLoad(
    int slots, int running, int waiting, long atMillis, boolean leaving, List<String> models) {}
