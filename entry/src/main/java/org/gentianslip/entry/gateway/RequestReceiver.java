package org.gentianslip.entry.gateway;

/** Takes requests that were read whole; called on the event loop of their connection. */
interface RequestReceiver {

  /** Takes a request, which is answered through the sink. */
  void take(IncomingRequest request, CallerSink sink);
}
