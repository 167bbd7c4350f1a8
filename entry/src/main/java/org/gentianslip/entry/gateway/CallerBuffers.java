package org.gentianslip.entry.gateway;

import org.gentianslip.core.limit.BufferQuota;

/**
 * The quotas of what an instance keeps for all callers together. Safe for use by several threads.
 *
 * @param requests the bytes of requests that are read or processed
 * @param responses the bytes of responses that are received or that callers have not read yet
 */
record CallerBuffers(BufferQuota requests, BufferQuota responses) {

  /** The bytes of all requests together. */
  private static final long MAX_REQUEST_BYTES = 48L << 20;

  /** The bytes of all responses together, a fifth of the heap of an instance. */
  private static final long MAX_RESPONSE_BYTES = 32L << 20;

  /** Returns the unused quotas of an instance. */
  static CallerBuffers create() {
    return new CallerBuffers(BufferQuota.of(MAX_REQUEST_BYTES), BufferQuota.of(MAX_RESPONSE_BYTES));
  }
}
