package org.gentianslip.load.call;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.function.LongSupplier;
import okio.BufferedSource;

/**
 * Reads a streamed answer and records when its tokens arrive.
 *
 * <p>Use an instance once, from one thread.
 */
final class StreamedAnswerReader {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String END_MARKER = "[DONE]";
  private static final int INITIAL_CAPACITY = 64;

  private final LongSupplier clock;
  private final StringBuilder text = new StringBuilder();
  private long[] tokenNanos = new long[INITIAL_CAPACITY];
  private int tokenCount;

  StreamedAnswerReader(LongSupplier clock) {
    this.clock = clock;
  }

  Reply read(BufferedSource source, String servedRegion) throws IOException {
    ServerSentEventReader events = new ServerSentEventReader(source);
    for (ServerSentEvent event = events.next(); event != null; event = events.next()) {
      if (event.type().equals("error")) {
        return errorReply(event);
      }
      if (event.data().equals(END_MARKER)) {
        return complete(events, servedRegion);
      }
      addToken(JSON.readTree(event.data()).path("choices").path(0));
    }
    return new Reply.Unknown("broken", "the stream ended without the end marker " + END_MARKER);
  }

  static String text(JsonNode choice, String chatMember) {
    return choice.has(chatMember)
        ? choice.path(chatMember).path("content").asText("")
        : choice.path("text").asText("");
  }

  private Reply complete(ServerSentEventReader events, String servedRegion) throws IOException {
    AnswerTiming timing = timing(clock.getAsLong());
    for (ServerSentEvent event = events.next(); event != null; event = events.next()) {
      text.append(event.data());
    }
    return new Reply.Answered(text.toString(), servedRegion, timing);
  }

  private static Reply errorReply(ServerSentEvent event) throws IOException {
    JsonNode error = JSON.readTree(event.data()).path("error");
    String code = error.path("code").asText("stream_error");
    String detail =
        error
            .path("message")
            .asText("the entry reported an error without a message during the stream");
    return new Reply.Unknown(code, detail);
  }

  private void addToken(JsonNode choice) {
    String token = text(choice, "delta");
    if (token.isEmpty()) {
      return;
    }
    text.append(token);
    if (tokenCount == tokenNanos.length) {
      tokenNanos = Arrays.copyOf(tokenNanos, tokenCount * 2);
    }
    tokenNanos[tokenCount++] = clock.getAsLong();
  }

  private AnswerTiming timing(long endNanos) {
    if (tokenCount == 0) {
      return AnswerTiming.ofSinglePart(endNanos);
    }
    long[] gapNanos = new long[tokenCount - 1];
    for (int i = 1; i < tokenCount; i++) {
      gapNanos[i - 1] = tokenNanos[i] - tokenNanos[i - 1];
    }
    return new AnswerTiming(tokenNanos[0], endNanos, gapNanos);
  }
}
