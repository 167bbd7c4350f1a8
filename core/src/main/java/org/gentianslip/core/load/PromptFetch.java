package org.gentianslip.core.load;

import org.gentianslip.core.published.Backend;

/**
 * Tells that an engine may copy the shared part of a prompt from another engine. Immutable and safe
 * for use by several threads.
 *
 * @param source the other engine
 * @param millisPerToken the time for each token, in milliseconds
 */
public record PromptFetch(Backend source, double millisPerToken) {}
