package org.gentianslip.entry.gateway;

import java.util.concurrent.CompletableFuture;

/** Brings the published state up to date on demand. Safe for use by several threads. */
public interface ReadBarrier {

  /**
   * Applies all changes that were published before this call.
   *
   * @return whether they are applied; completed on any thread, and possibly late if the publisher
   *     does not respond
   */
  CompletableFuture<Boolean> pass();
}
