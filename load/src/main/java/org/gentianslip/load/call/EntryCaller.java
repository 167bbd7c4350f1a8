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
 * Makes calls as a caller would: at the entry instances it was told of, following refusals.
 *
 * <p>A call is tried again only after an exchange that surely did not run, and at most {@value
 * #MAX_EXCHANGES} times. Safe for use by several threads.
 */
public final class EntryCaller {

  static final int MAX_EXCHANGES = 4;

  private final ModelExchange models;
  private final ServiceExchange services;
  private final LongSupplier clock;

  /**
   * Makes a caller.
   *
   * @param callTimeout the longest time that one exchange may take
   * @param clock the monotonic clock, in nanoseconds
   */
  public EntryCaller(Duration callTimeout, LongSupplier clock) {
    OkHttpClient pooled = HttpClients.pooled(callTimeout);
    this.models = new ModelExchange(pooled, clock);
    this.services = new ServiceExchange(pooled, HttpClients.fresh(callTimeout), clock);
    this.clock = clock;
  }

  /**
   * Makes a call and waits for its end.
   *
   * @param region the caller's region
   * @param finder finds the entries to use
   * @param dueNanos the monotonic time at which the call was due, in nanoseconds
   */
  public CallResult call(CallSpec spec, RegionId region, EntryFinder finder, long dueNanos) {
    Progress progress = new Progress(spec, region, dueNanos);
    Reply last = new Reply.NotRun("unreachable", "no entry is known", List.of());
    for (int i = 0; i < MAX_EXCHANGES; i++) {
      List<EntryAddress> entries;
      try {
        entries = finder.find(spec.share().customer(), spec.share().kind(), clock.getAsLong());
      } catch (IOException e) {
        last = new Reply.NotRun("unreachable", String.valueOf(e.getMessage()), List.of());
        break;
      }
      EntryAddress entry = progress.choose(entries);
      last = exchange(entry.address(), spec);
      if (!(last instanceof Reply.NotRun refusal)) {
        return progress.result(last, entry);
      }
      progress.refused(entry);
      finder.refused(spec.share().customer(), spec.share().kind(), refusal.entries());
    }
    return progress.result(last, null);
  }

  /**
   * Makes one exchange at one entry; a ticket that the entry offers is used at once.
   *
   * @param address the entry's address as {@code IP:PORT}
   */
  public Reply exchange(String address, CallSpec spec) {
    if (spec.share().action().isModel()) {
      return models.run(address, spec);
    }
    Reply reply = services.run(address, spec, null);
    return reply instanceof Reply.TicketNeeded needed
        ? services.run(address, spec, needed.ticket())
        : reply;
  }

  /**
   * Calls a service with a given ticket, or without one if it is null, once.
   *
   * @param address the entry's address as {@code IP:PORT}
   */
  public Reply exchange(String address, CallSpec spec, String ticket) {
    return services.run(address, spec, ticket);
  }

  /** Returns a bound on the time that a call can take. */
  public static Duration longestCall(Duration callTimeout) {
    return callTimeout.multipliedBy(2L * MAX_EXCHANGES);
  }

  /** Tells whether the text is the whole answer to the call and to no other. */
  public static boolean isOwnAnswer(CallSpec spec, String text) {
    if (spec.share().action().isModel()) {
      return text.equals(ExpectedAnswer.of(spec.prompt(), spec.share().maxTokens()));
    }
    return text.contains("\"" + ExpectedAnswer.serviceDigest(spec.serviceBody()) + "\"");
  }
}
