package org.gentianslip.standin.config;

/**
 * A value of a key. Immutable.
 *
 * @param revision grows with every change of the key; the first is 1
 * @param json the value as JSON text
 */
public record PublishedValue(long revision, String json) {}
