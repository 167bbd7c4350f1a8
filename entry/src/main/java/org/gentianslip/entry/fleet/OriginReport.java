package org.gentianslip.entry.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.fleet.SyncAck;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.stream.OriginBatch;
import org.gentianslip.core.stream.OriginDemand;
import org.gentianslip.core.stream.StreamOrigin;
import org.gentianslip.core.stream.StreamOrigins;

/**
 * The JSON form of origins of streams, with ages because the clocks of instances differ.
 *
 * @param origins the origins; each array holds the id of the attempt, the version, and the time
 *     since the stream began in milliseconds
 * @param number the number up to which they are complete
 * @param ack what the sender has received of the receiver's origins
 * @param need the steps by which a need for origins is passed on, or 0 if there is none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record OriginReport(List<JsonNode> origins, long number, FleetMessage.Ack ack, int need) {

  /** The maximum number of streams in one message, the ones recorded first. */
  static final int MAX_STREAMS = 2_000;

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private static final int MAX_ID_LENGTH = 128;

  /** The longest part of a bad value in a log line, in characters. */
  private static final int MAX_LOGGED_CHARS = 40;

  private static final long MAX_AGE_MILLIS =
      TimeUnit.NANOSECONDS.toMillis(StreamOrigins.RETENTION_NANOS);

  OriginReport {
    origins = origins == null ? List.of() : List.copyOf(origins);
    ack = ack == null ? FleetMessage.Ack.of(SyncAck.NONE) : ack;
  }

  /** Returns a report, or null if there is nothing to tell. */
  static OriginReport of(long nowNanos, OriginBatch batch, SyncAck ack, int need) {
    if (batch.origins().isEmpty() && ack.equals(SyncAck.NONE) && need == 0) {
      return null;
    }
    List<JsonNode> origins =
        batch.origins().stream()
            .filter(o -> isValidId(o.request()))
            .map(o -> write(nowNanos, o))
            .toList();
    return new OriginReport(origins, batch.number(), FleetMessage.Ack.of(ack), need);
  }

  private static JsonNode write(long nowNanos, StreamOrigin origin) {
    return JsonNodeFactory.instance
        .arrayNode()
        .add(origin.request())
        .add(origin.version().value())
        .add(TimeUnit.NANOSECONDS.toMillis(nowNanos - origin.begunNanos()));
  }

  /** Returns the readable origins, without those that are too old. */
  List<StreamOrigin> read(long nowNanos, String sender) {
    return origins.stream()
        .limit(2 * MAX_STREAMS)
        .flatMap(o -> read(nowNanos, sender, o).stream())
        .toList();
  }

  private static Optional<StreamOrigin> read(long nowNanos, String sender, JsonNode node) {
    JsonNode age = node.path(2);
    boolean valid =
        isValidId(node.path(0).asText())
            && node.path(0).isTextual()
            && node.path(1).isTextual()
            && age.isIntegralNumber()
            && age.canConvertToLong()
            && age.longValue() >= 0;
    if (!valid) {
      logUnreadable(sender, node);
      return Optional.empty();
    }
    if (age.longValue() > MAX_AGE_MILLIS) {
      return Optional.empty();
    }
    try {
      long begunNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(age.longValue());
      SoftwareVersion version = SoftwareVersion.of(node.path(1).textValue());
      return Optional.of(new StreamOrigin(node.path(0).textValue(), version, begunNanos));
    } catch (IllegalArgumentException e) {
      logUnreadable(sender, node);
      return Optional.empty();
    }
  }

  private static void logUnreadable(String sender, JsonNode node) {
    String text = node.toString();
    LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
        "fleet: event=bad-origin instance=%s stated=%s use=none",
        sender, text.substring(0, Math.min(MAX_LOGGED_CHARS, text.length())));
  }

  private static boolean isValidId(String id) {
    return !id.isEmpty()
        && id.length() <= MAX_ID_LENGTH
        && id.chars().allMatch(c -> c > ' ' && c <= '~');
  }

  /** Returns the stated need, which is at most the largest possible one. */
  int boundedNeed() {
    return Math.max(0, Math.min(OriginDemand.MAX_STEPS, need));
  }
}
