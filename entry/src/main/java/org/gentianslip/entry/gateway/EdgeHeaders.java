package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.published.Backend;

/**
 * The header conventions that callers and backend servers share with the gateway.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 */
public interface EdgeHeaders {

  /** Returns the name of the header with the request id. */
  String requestId();

  /** Returns the name of the header with the time that the sender waits, in milliseconds. */
  String deadlineMillis();

  /** Returns the name of the header with the id of the event after which a stream continues. */
  String lastEventId();

  /**
   * Returns the ids of the attempts whose stream a request takes up, as they were received; empty
   * if it has no such header.
   */
  List<String> resumedAttempts(HttpHeaders headers);

  /** Returns the name of the header with a customer's key. */
  String customerKey();

  /** Returns whether only the gateway may set a header; it is dropped from callers' requests. */
  boolean isReserved(String name);

  /** Returns whether a header must reach the backend server even if Connection names it. */
  boolean isKept(String name);

  /** Returns the size of the work that the headers of a request declare. */
  RequestSize sizeOf(HttpHeaders headers, long bodyBytes);

  /**
   * Returns the tokens that a request declares, those of its prompt and those to generate together;
   * empty if it declares none, or not in a readable way.
   */
  OptionalLong statedTokens(HttpHeaders headers);

  /**
   * Adds the gateway's own headers to a request for a backend server.
   *
   * @param rank the rank of the request, 0 being the most urgent
   * @param customer the customer, if the request has one
   * @param source the engine to copy the shared part of the prompt from, if any
   */
  void addForBackend(
      HttpHeaders headers,
      Backend backend,
      int rank,
      Optional<CustomerId> customer,
      Optional<Backend> source);

  /**
   * Names the backend server or instance that a request is meant for; no other one runs it.
   *
   * @param receiver the id of the receiver
   */
  void setReceiver(HttpHeaders headers, String receiver);

  /** Returns the id of the receiver that a request names, if it names one. */
  Optional<String> receiver(HttpHeaders headers);

  /** Returns whether a response proves that the request did not run and will not run. */
  boolean isNotRun(int status, HttpHeaders headers);

  /** Returns whether a response is signed by a backend server. */
  boolean isSigned(HttpHeaders headers);

  /** Returns whether a response comes from another receiver than the request named. */
  boolean isOtherReceiver(int status, HttpHeaders headers);

  /** Returns whether a response refuses a request, which did not run, as it bears no id. */
  boolean isRefusedWithoutId(int status, HttpHeaders headers);

  /**
   * Returns the requests per second that the backend server takes from all instances together, if
   * it names a limit.
   */
  OptionalDouble requestsPerSecond(HttpHeaders headers);

  /**
   * Returns the refusals for want of room per second that the backend server bears from all
   * instances together, if it names a limit.
   */
  OptionalDouble refusalsPerSecond(HttpHeaders headers);

  /** Returns whether the backend server that sent a response says that it is leaving. */
  boolean isLeaving(HttpHeaders headers);

  /**
   * Returns for how long the backend server that refused a request wants no other one, in
   * milliseconds; empty if it does not say so, or not in a readable way.
   */
  OptionalLong pauseMillis(int status, HttpHeaders headers);

  /** Returns how long the backend server reports to stay cold, in milliseconds, if it does. */
  Optional<Long> coldMillis(HttpHeaders headers);
}
