package org.gentianslip.core.load;

/**
 * A part of a prompt. Requests that share the part give it the same id. Immutable and thread-safe.
 *
 * @param id the id
 * @param tokens its length, in tokens
 */
public record PromptPart(String id, long tokens) {}
