package org.gentianslip.core.route;

/**
 * Describes the model engines of a service. Immutable and safe for use by several threads.
 *
 * @param slots the requests that an engine runs at once
 * @param cacheTokens the tokens that fit into an engine's memory
 * @param eventTokens the tokens in one event of a stream
 */
public record EngineProfile(int slots, long cacheTokens, int eventTokens) {}
