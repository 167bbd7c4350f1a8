package org.gentianslip.entry.gateway;

/** Hears of a caller while its request is served; called on the request's event loop. */
interface CallerListener {

  /** The caller has gone away. */
  void gone();

  /** More may be written, or no more for now. */
  void writabilityChanged(boolean writable);
}
