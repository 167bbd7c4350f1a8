package org.gentianslip.demo.fleet;

/**
 * An execution of a call by a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param server the backend server that executed the call
 * @param callId the id of the call, as assigned by the entry instance
 * @param path the path of the call
 * @param bodyDigest the digest of the body of the call
 */
public record ServiceExecution(String server, String callId, String path, String bodyDigest) {}
