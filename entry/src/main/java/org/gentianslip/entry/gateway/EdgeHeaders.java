package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.published.Backend;

/**
 * Names and reads the headers that callers and backend servers use.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 */
public interface EdgeHeaders {

  /** Returns the name of the header that identifies a request. */
  String requestId();

  /** Returns the name of the header that tells how long the sender waits, in milliseconds. */
  String deadlineMillis();

  /** Returns the name of the header that tells behind which event a stream continues. */
  String lastEventId();

  /** Returns whether only the gateway may set a header; a caller's one is dropped. */
  boolean isReserved(String name);

  /** Returns whether a header must reach the backend server in any case. */
  boolean isKept(String name);

  /** Returns what a request's headers tell of its work. */
  RequestSize sizeOf(HttpHeaders headers, long bodyBytes);

  /**
   * Sets what a backend server is told beside the caller's headers.
   *
   * @param rank the rank of the request; 0 is the most urgent
   * @param source the engine from which the shared part of the prompt is copied, if from one
   */
  void addForBackend(HttpHeaders headers, Backend backend, int rank, Optional<Backend> source);

  /** Returns whether an answer proves that the request did not run and will not. */
  boolean isNotRun(int status, HttpHeaders headers);

  /** Returns whether a backend server signed an answer. */
  boolean isSigned(HttpHeaders headers);

  /** Returns whether another backend server than the expected one answered. */
  boolean isOtherBackend(int status, HttpHeaders headers);

  /** Returns how long a backend server says that it stays cold, in milliseconds, if it does. */
  Optional<Long> coldMillis(HttpHeaders headers);
}
