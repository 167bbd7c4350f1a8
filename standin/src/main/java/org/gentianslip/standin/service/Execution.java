package org.gentianslip.standin.service;

/**
 * One execution of a call. Immutable.
 *
 * @param number counts the executions of the service from 1
 * @param callId the header {@code X-Call-Id}, empty if there was none
 * @param method the method in capitals
 * @param path the path without the query
 * @param bodyDigest the first 16 hexadecimal digits of the SHA-256 of the body
 */
public record Execution(
    long number, String callId, String method, String path, String bodyDigest) {}
