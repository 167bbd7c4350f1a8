package org.gentianslip.entry.gateway;

/** Receives connection events of a caller, on the event loop of its request. */
interface CallerListener {

  /** Called when the caller has closed the connection. */
  void onDisconnect();

  /** Called when the connection becomes writable, or its write buffer is full. */
  void onWritabilityChanged(boolean writable);
}
