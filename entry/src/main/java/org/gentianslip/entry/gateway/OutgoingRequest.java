package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * An HTTP request to a backend server or another instance.
 *
 * @param address the address to send it to, as {@code IP:PORT}
 * @param method the method
 * @param target the path and the query
 * @param headers the headers to send
 * @param body the body, empty if there is none
 * @param id the request id, expected in the response
 * @param idHeader the name of the response header with the request id
 * @param fresh whether the request requires a new connection
 * @param connectMillis the connect timeout, in milliseconds
 * @param check decides immediately before the write whether the request is still sent
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
    int connectMillis,
    WriteCheck check) {}
