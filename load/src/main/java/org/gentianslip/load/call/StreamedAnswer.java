package org.gentianslip.load.call;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.function.LongSupplier;
import okio.BufferedSource;

/**
 * Collects a streamed answer and the times of its tokens.
 *
 * <p>Used once, by one thread.
 */
final class StreamedAnswer {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String END = "[DONE]";
  private static final int FIRST_CAPACITY = 64;

  private final LongSupplier clock;
  private final StringBuilder text = new StringBuilder();
  private long[] times = new long[FIRST_CAPACITY];
  private int count;

  StreamedAnswer(LongSupplier clock) {
    this.clock = clock;
  }

  Reply read(BufferedSource source, String servedRegion) throws IOException {
    ServerEventReader events = new ServerEventReader(source);
    for (ServerEvent event = events.next(); event != null; event = events.next()) {
      if (event.type().equals("error")) {
        return failure(event);
      }
      if (event.data().equals(END)) {
        return complete(events, servedRegion);
      }
      add(JSON.readTree(event.data()).path("choices").path(0));
    }
    return new Reply.Unknown("broken", "the stream ended without " + END);
  }

  static String text(JsonNode choice, String chatField) {
    return choice.has(chatField)
        ? choice.path(chatField).path("content").asText("")
        : choice.path("text").asText("");
  }

  private Reply complete(ServerEventReader events, String servedRegion) throws IOException {
    Timing timing = timing(clock.getAsLong());
    for (ServerEvent event = events.next(); event != null; event = events.next()) {
      text.append(event.data());
    }
    return new Reply.Answered(text.toString(), servedRegion, timing);
  }

  private static Reply failure(ServerEvent event) throws IOException {
    JsonNode error = JSON.readTree(event.data()).path("error");
    String code = error.path("code").asText("stream_error");
    String detail = error.path("message").asText("the stream broke off");
    return new Reply.Unknown(code, detail);
  }

  private void add(JsonNode choice) {
    String part = text(choice, "delta");
    if (part.isEmpty()) {
      return;
    }
    text.append(part);
    if (count == times.length) {
      times = Arrays.copyOf(times, count * 2);
    }
    times[count++] = clock.getAsLong();
  }

  private Timing timing(long endNanos) {
    if (count == 0) {
      return Timing.whole(endNanos);
    }
    long[] gaps = new long[count - 1];
    for (int i = 1; i < count; i++) {
      gaps[i - 1] = times[i] - times[i - 1];
    }
    return new Timing(times[0], endNanos, gaps);
  }
}
