package org.gentianslip.core.published;

/**
 * Holds one published value; neither the bytes nor the key mean anything here. The array is not
 * copied and must not be changed. Safe for use by several threads.
 *
 * @param key the key
 * @param value the bytes
 * @param revision the revision of the last change
 */
@SuppressWarnings("ArrayRecordComponent")
public record PublishedItem(String key, byte[] value, long revision) {}
