package org.gentianslip.core.load;

/**
 * Names a part of a prompt; requests that share it name the same id. Immutable and safe for use by
 * several threads.
 *
 * @param id the id
 * @param tokens its length, in tokens
 */
public record PromptPart(String id, long tokens) {}
