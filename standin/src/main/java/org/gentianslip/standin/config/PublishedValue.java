package org.gentianslip.standin.config;

/**
 * A published value of a key. Immutable.
 *
 * @param revision the revision of the key, which increases with every change, from 1
 * @param json the value as JSON text
 */
public record PublishedValue(long revision, String json) {}
