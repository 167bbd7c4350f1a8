package org.gentianslip.load.call;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import okhttp3.OkHttpClient;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.work.CallSpec;
import org.gentianslip.load.work.ExpectedAnswer;

/**
 * Calls entry instances that a finder returns, and tries another entry after a refusal.
 *
 * <p>A call is retried only if the last exchange is known not to have run; it takes at most {@value
 * #MAX_EXCHANGES} exchanges. Thread-safe.
 */
public final class EntryCaller {

  static final int MAX_EXCHANGES = 4;

  private final ModelExchange models;
  private final ServiceExchange services;
  private final LongSupplier clock;

  /**
   * Creates a caller.
   *
   * @param callTimeout the maximum duration of one exchange
   * @param clock the monotonic clock, in nanoseconds
   */
  public EntryCaller(Duration callTimeout, LongSupplier clock) {
    OkHttpClient pooled = HttpClients.pooled(callTimeout);
    this.models = new ModelExchange(pooled, clock);
    this.services = new ServiceExchange(pooled, HttpClients.unpooled(callTimeout), clock);
    this.clock = clock;
  }

  /**
   * Makes a call and waits for its result.
   *
   * @param region the region of the caller
   * @param finder finds the entries to use
   * @param dueNanos the monotonic time at which the call was due, in nanoseconds
   */
  public CallResult call(CallSpec spec, RegionId region, EntryFinder finder, long dueNanos) {
    CallProgress progress = new CallProgress(spec, region, dueNanos);
    Reply reply = new Reply.NotRun("unreachable", "no entry instance is known", List.of());
    for (int i = 0; i < MAX_EXCHANGES; i++) {
      List<EntryAddress> entries;
      try {
        entries = finder.find(spec.share().customer(), spec.share().kind(), clock.getAsLong());
      } catch (IOException e) {
        reply = new Reply.NotRun("unreachable", String.valueOf(e.getMessage()), List.of());
        break;
      }
      EntryAddress entry = progress.chooseEntry(entries);
      reply = exchange(entry.address(), spec);
      if (!(reply instanceof Reply.NotRun refusal)) {
        return progress.result(reply, entry);
      }
      progress.recordRefusal(entry);
      finder.recordRefusal(spec.share().customer(), spec.share().kind(), refusal.entries());
    }
    return progress.result(reply, null);
  }

  /**
   * Sends a call to one entry; if the entry requires a ticket and offers one, sends the call again
   * with it.
   *
   * @param address the address of the entry, as {@code IP:PORT}
   */
  public Reply exchange(String address, CallSpec spec) {
    if (spec.share().action().isModel()) {
      return models.run(address, spec);
    }
    Reply reply = services.run(address, spec, null);
    return reply instanceof Reply.TicketRequired required
        ? services.run(address, spec, required.ticket())
        : reply;
  }

  /**
   * Sends a service call to one entry once, with the given ticket, or without a ticket if it is
   * null.
   *
   * @param address the address of the entry, as {@code IP:PORT}
   */
  public Reply exchange(String address, CallSpec spec, String ticket) {
    return services.run(address, spec, ticket);
  }

  /** Returns an upper bound on the duration of a call, over all its exchanges. */
  public static Duration maxCallDuration(Duration callTimeout) {
    return callTimeout.multipliedBy(2L * MAX_EXCHANGES);
  }

  /** Returns whether the text is the complete answer to this call. */
  public static boolean isExpectedAnswer(CallSpec spec, String text) {
    if (spec.share().action().isModel()) {
      return text.equals(ExpectedAnswer.of(spec.prompt(), spec.share().maxTokens()));
    }
    return text.contains("\"" + ExpectedAnswer.serviceDigest(spec.serviceBody()) + "\"");
  }
}
