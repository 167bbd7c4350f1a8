package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;

/** Decides at the last moment whether a request is written. */
interface WriteCheck {

  /**
   * Sets the headers that depend on the moment of the write, and returns whether the request may be
   * written.
   */
  boolean prepare(long nowNanos, HttpHeaders headers);
}
