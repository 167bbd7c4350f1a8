package org.gentianslip.entry.gateway;

/** Handles requests that have been read completely, on the event loop of their connection. */
interface RequestHandler {

  /** Handles a request and writes its response, now or later. */
  void handle(BufferedHttpRequest request, ResponseWriter writer);
}
