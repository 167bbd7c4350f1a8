package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Describes one exchange with a backend server or another instance.
 *
 * @param address where to send it, as {@code IP:PORT}
 * @param method the method
 * @param target the path and the query
 * @param headers the headers to send
 * @param body the body; empty if there is none
 * @param id the value of {@code idHeader} in the answer that belongs to this request
 * @param idHeader the header that names an answer's request
 * @param fresh whether it needs a connection that was not used before
 * @param connectMillis the longest time to connect, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
record OutgoingRequest(
    String address,
    HttpMethod method,
    String target,
    HttpHeaders headers,
    byte[] body,
    String id,
    String idHeader,
    boolean fresh,
    int connectMillis) {}
