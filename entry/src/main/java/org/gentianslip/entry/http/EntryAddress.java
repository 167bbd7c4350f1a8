package org.gentianslip.entry.http;

/**
 * The address of an instance, as sent to callers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the instance
 * @param region its region
 * @param address its caller port as {@code IP:PORT}
 */
public record EntryAddress(String id, String region, String address) {}
