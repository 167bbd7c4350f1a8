package org.gentianslip.core.load;

import org.gentianslip.core.id.EngineId;

/**
 * Tells that an engine has read a part of a prompt. Immutable and safe for use by several threads.
 *
 * @param part the part
 * @param engine the engine
 * @param prefilledNanos when it was read, in nanoseconds of the monotonic clock
 */
public record PromptHolder(PromptPart part, EngineId engine, long prefilledNanos) {}
