package org.gentianslip.standin.service;

/**
 * A recorded execution of a call. Immutable.
 *
 * @param number the sequence number of the execution, counted from 1
 * @param callId the header {@code X-Call-Id}, or empty if it was missing
 * @param method the method in upper case
 * @param path the path without the query
 * @param bodyDigest the first 16 hexadecimal digits of the SHA-256 of the body
 */
public record RecordedExecution(
    long number, String callId, String method, String path, String bodyDigest) {}
