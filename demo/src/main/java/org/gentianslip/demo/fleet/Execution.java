package org.gentianslip.demo.fleet;

/**
 * One execution of a call by a service.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param server the backend server that executed the call
 * @param callId the call's id, as the entry instance named it
 * @param path the path
 * @param bodyDigest the digest of the call's body
 */
public record Execution(String server, String callId, String path, String bodyDigest) {}
