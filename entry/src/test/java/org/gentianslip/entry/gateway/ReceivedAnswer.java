package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Records what a client makes of the answer to one request. Safe for use by several threads. */
final class ReceivedAnswer implements ResponseListener {

  /** What is read for an exchange that ended without a complete answer. */
  static final String FAILURE = "failure";

  /** What {@link #await} returns if the request was not written. */
  static final String NOT_WRITTEN = "not written";

  /** The time after which a test gives up, as the exchange would never end. */
  private static final long GIVE_UP_SECONDS = 10;

  private final CompletableFuture<String> result = new CompletableFuture<>();
  private final CompletableFuture<Integer> head = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;

  /** Returns what {@link #await} returns for a complete answer. */
  static String whole(int status, String body) {
    return status + " " + body;
  }

  /** Waits for the end of the exchange; returns the status and the body, or the failure. */
  String await() throws Exception {
    return result.get(GIVE_UP_SECONDS, TimeUnit.SECONDS);
  }

  /** Waits for the head of the answer. */
  void awaitHead() throws Exception {
    head.get(GIVE_UP_SECONDS, TimeUnit.SECONDS);
  }

  @Override
  public void onHead(int receivedStatus, HttpHeaders headers) {
    status = receivedStatus;
    head.complete(receivedStatus);
  }

  @Override
  public void onBodyPart(byte[] bytes) {
    body.writeBytes(bytes);
  }

  @Override
  public void onComplete() {
    end(whole(status, body.toString(StandardCharsets.ISO_8859_1)));
  }

  @Override
  public void onFailure(boolean written, String cause) {
    end(FAILURE);
  }

  @Override
  public void onNotWritten() {
    end(NOT_WRITTEN);
  }

  private void end(String text) {
    if (!result.complete(text)) {
      result.obtrudeException(new AssertionError("the exchange ended twice"));
    }
  }
}
