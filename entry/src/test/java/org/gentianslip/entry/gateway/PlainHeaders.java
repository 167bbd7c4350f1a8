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
 * Header conventions with names only.
 *
 * @param beginning runs on the event loop for each request that is begun
 * @param sending runs on the event loop for each request that is sent to a backend server
 */
record PlainHeaders(Runnable beginning, Runnable sending) implements EdgeHeaders {

  @Override
  public String requestId() {
    return "Request-Id";
  }

  @Override
  public String deadlineMillis() {
    return "Deadline";
  }

  @Override
  public String lastEventId() {
    return "Last-Event";
  }

  @Override
  public List<String> resumedAttempts(HttpHeaders headers) {
    return headers.getAll("Resumed");
  }

  @Override
  public String customerKey() {
    return "Key";
  }

  @Override
  public OptionalLong statedTokens(HttpHeaders headers) {
    return OptionalLong.empty();
  }

  @Override
  public boolean isReserved(String name) {
    return false;
  }

  @Override
  public boolean isKept(String name) {
    return false;
  }

  @Override
  public RequestSize sizeOf(HttpHeaders headers, long bodyBytes) {
    beginning.run();
    return RequestSize.UNKNOWN;
  }

  @Override
  public void addForBackend(
      HttpHeaders headers,
      Backend backend,
      int rank,
      Optional<CustomerId> customer,
      Optional<Backend> source) {
    sending.run();
  }

  @Override
  public void setReceiver(HttpHeaders headers, String receiver) {}

  @Override
  public Optional<String> receiver(HttpHeaders headers) {
    return Optional.empty();
  }

  @Override
  public boolean isNotRun(int status, HttpHeaders headers) {
    return false;
  }

  @Override
  public boolean isSigned(HttpHeaders headers) {
    return true;
  }

  @Override
  public boolean isOtherReceiver(int status, HttpHeaders headers) {
    return false;
  }

  @Override
  public boolean isRefusedWithoutId(int status, HttpHeaders headers) {
    return false;
  }

  @Override
  public OptionalDouble refusalsPerSecond(HttpHeaders headers) {
    return OptionalDouble.empty();
  }

  @Override
  public OptionalDouble requestsPerSecond(HttpHeaders headers) {
    return OptionalDouble.empty();
  }

  @Override
  public boolean isLeaving(HttpHeaders headers) {
    return false;
  }

  @Override
  public OptionalLong pauseMillis(int status, HttpHeaders headers) {
    return OptionalLong.empty();
  }

  @Override
  public Optional<Long> coldMillis(HttpHeaders headers) {
    return Optional.empty();
  }
}
