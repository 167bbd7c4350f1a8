package org.gentianslip.core.published;

/**
 * One published value.
 *
 * <p>The key and the bytes are not interpreted here. The array is not copied and must not be
 * modified. Thread-safe.
 *
 * @param key the key
 * @param value the bytes
 * @param revision the revision of the last change
 */
@SuppressWarnings("ArrayRecordComponent")
public record PublishedItem(String key, byte[] value, Revision revision) {}
