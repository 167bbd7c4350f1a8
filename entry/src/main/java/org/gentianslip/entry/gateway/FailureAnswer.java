package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The answer of a backend server that failed a request, passed on if no other one answers it.
 *
 * @param status the status
 * @param headers the headers for the caller
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
record FailureAnswer(int status, HttpHeaders headers, byte[] body) {}
