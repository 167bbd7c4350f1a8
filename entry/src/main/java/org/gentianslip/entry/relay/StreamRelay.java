package org.gentianslip.entry.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import okhttp3.Response;
import okio.Buffer;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.ResponseSink;

/**
 * Copies a streamed response to its caller, chunk by chunk.
 *
 * <p>A stream that is cut off ends with an event named {@code error} and never with the marker of a
 * complete response. A caller that disconnects cancels the exchange. Stateless and safe for use by
 * several threads.
 */
public final class StreamRelay {

  private static final long CHUNK_BYTES = 8_192;

  /** Receives the progress of a stream on the copying thread. */
  public interface Progress {

    /** Called when data events have arrived; the first call reports the first token. */
    void onEvents(int count);
  }

  /** How a stream ended. */
  public enum End {
    /** The complete response reached the caller's connection. */
    WHOLE,
    /**
     * The backend server or peer ended the stream early; the caller received an {@code error}
     * event.
     */
    TRUNCATED,
    /** The caller disconnected. */
    ABANDONED
  }

  private StreamRelay() {}

  /** Copies the stream and closes the response. */
  public static End copy(
      Response response, Map<String, String> headers, ResponseSink sink, Progress progress) {
    var tracker = new SseTracker();
    try (response) {
      sink.begin(response.code(), headers);
      End end = copyChunks(response, sink, tracker, progress);
      if (end == End.TRUNCATED) {
        sink.write(errorEvent());
      }
      if (end != End.ABANDONED) {
        sink.end();
      }
      return end;
    } catch (IOException e) {
      return End.ABANDONED;
    }
  }

  private static End copyChunks(
      Response response, ResponseSink sink, SseTracker tracker, Progress progress) {
    var source = response.body().source();
    var buffer = new Buffer();
    int reportedEvents = 0;
    while (true) {
      byte[] chunk;
      try {
        if (source.read(buffer, CHUNK_BYTES) < 0) {
          return tracker.isComplete() ? End.WHOLE : End.TRUNCATED;
        }
        chunk = buffer.readByteArray();
      } catch (IOException e) {
        return tracker.isComplete() ? End.WHOLE : End.TRUNCATED;
      }
      tracker.accept(chunk);
      if (tracker.eventCount() > reportedEvents) {
        progress.onEvents(tracker.eventCount() - reportedEvents);
        reportedEvents = tracker.eventCount();
      }
      try {
        sink.write(chunk);
      } catch (IOException e) {
        return End.ABANDONED;
      }
    }
  }

  private static byte[] errorEvent() {
    var reply = ErrorReply.unknown(ErrorCode.BACKEND_FAILED, "The response was cut off.");
    String data = new String(reply.toJson(), StandardCharsets.UTF_8);
    return ("\n\nevent: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
  }
}
