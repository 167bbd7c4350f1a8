package org.gentianslip.core.load;

import org.gentianslip.core.published.Backend;

/**
 * A source from which an engine may copy the shared part of a prompt. Immutable and thread-safe.
 *
 * @param source the engine that holds the part
 * @param millisPerToken the time to copy one token, in milliseconds
 */
public record PromptFetch(Backend source, double millisPerToken) {}
