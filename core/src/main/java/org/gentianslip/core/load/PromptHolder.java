package org.gentianslip.core.load;

import org.gentianslip.core.id.EngineId;

/**
 * An engine that has prefilled a part of a prompt and may still have it cached. Immutable and
 * thread-safe.
 *
 * @param part the part
 * @param engine the engine
 * @param prefilledNanos when the engine prefilled the part, in nanoseconds of the monotonic clock
 */
public record PromptHolder(PromptPart part, EngineId engine, long prefilledNanos) {}
