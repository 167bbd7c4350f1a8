package org.gentianslip.entry.gateway;

/** Takes requests that were read whole; called on the event loop of their connection. */
interface RequestHandler {

  /** Takes a request, which is answered through the sink. */
  void take(BufferedHttpRequest request, ResponseWriter sink);
}
