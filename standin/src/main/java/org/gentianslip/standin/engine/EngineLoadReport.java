package org.gentianslip.standin.engine;

import java.util.List;

/**
 * The load report that an engine serves. Immutable.
 *
 * @param slots the maximum number of requests in the batch
 * @param running the number of requests in the batch
 * @param waiting the number of requests that wait for a slot
 * @param atMillis the time of the report, in milliseconds since the epoch
 * @param leaving whether the engine refuses new requests
 * @param models the loaded models
 */
public record EngineLoadReport(
    int slots, int running, int waiting, long atMillis, boolean leaving, List<String> models) {}
