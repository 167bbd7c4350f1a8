package org.gentianslip.core.ticket;

import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.outcome.NotRunReason;
import org.gentianslip.core.outcome.Outcome;

/**
 * Remembers the used tickets of one incarnation.
 *
 * <p>Invariants: {@link Redemption.Execute} is given at most once for a ticket, whatever times the
 * callers bring. A ticket that was said never to have been used is not granted later. A record is
 * dropped only when its call has ended and its ticket has expired; before that, the horizon is
 * raised to the ticket's expiry, and no ticket at or below the horizon is granted. At most {@code
 * capacity} uses and as many withdrawals again are remembered; a full ledger refuses and never
 * forgets. Lock-free reads, safe for use by several threads.
 */
public final class TicketLedger {

  private static final long SWEEP_INTERVAL_NANOS = 100_000_000;
  private static final Outcome WITHDRAWN = new Outcome.NotRun(NotRunReason.WITHDRAWN);

  private final TicketIssuer mint;
  private final int capacity;
  private final long retentionNanos;
  private final Map<Long, Entry> entries = new ConcurrentHashMap<>();
  private final AtomicInteger size = new AtomicInteger();
  private final AtomicLong horizonNanos;
  private final AtomicLong lastSweepNanos;

  private record Entry(long expiresNanos, TicketUse use) {}

  /**
   * Makes an empty ledger.
   *
   * @param mint the mint of the same incarnation
   * @param capacity the greatest number of uses remembered at once, at least 1
   * @param retentionNanos how long an ended use is remembered after its ticket's expiry, in
   *     nanoseconds, at least 0
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @throws IllegalArgumentException if a number is out of its range
   */
  public TicketLedger(TicketIssuer mint, int capacity, long retentionNanos, long nowNanos) {
    if (capacity < 1 || capacity > Integer.MAX_VALUE / 2) {
      throw new IllegalArgumentException("Capacity is out of range: " + capacity);
    }
    if (retentionNanos < 0) {
      throw new IllegalArgumentException("Retention must not be negative: " + retentionNanos);
    }
    this.mint = Objects.requireNonNull(mint);
    this.capacity = capacity;
    this.retentionNanos = retentionNanos;
    this.horizonNanos = new AtomicLong(nowNanos);
    this.lastSweepNanos = new AtomicLong(nowNanos);
  }

  /**
   * Uses the ticket, if it is good.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param ticket the ticket that came with the call
   * @param binding the call that came
   */
  public Redemption redeem(long nowNanos, Ticket ticket, TicketBinding binding) {
    Redemption.Refusal refusal = refusalOfStranger(ticket, binding);
    if (refusal != null) {
      return refusal;
    }
    if (!stillValid(nowNanos, ticket)) {
      Redemption.Refusal withdrawn = withdrawOwn(nowNanos, ticket);
      return withdrawn == null ? new Redemption.Expired(true) : withdrawn;
    }
    Redemption.Refusal used = claim(nowNanos, ticket, capacity);
    if (used instanceof Redemption.TableFull) {
      Redemption.Refusal withdrawn = withdrawOwn(nowNanos, ticket);
      return withdrawn == null ? new Redemption.TableFull(true) : withdrawn;
    }
    return used == null ? new Redemption.Execute(ticket) : used;
  }

  /**
   * Makes the ticket useless, if it was not used before.
   *
   * <p>An answer {@link Redemption.AlreadyUsed} with {@link NotRunReason#WITHDRAWN} tells that the
   * call never ran and never will under this ticket.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param ticket the ticket
   * @param binding the call that the ticket is bound to
   */
  public Redemption.Refusal withdraw(long nowNanos, Ticket ticket, TicketBinding binding) {
    Redemption.Refusal refusal = refusalOfStranger(ticket, binding);
    if (refusal != null) {
      return refusal;
    }
    Redemption.Refusal withdrawn = withdrawOwn(nowNanos, ticket);
    return withdrawn == null
        ? new Redemption.AlreadyUsed(new TicketUse.Ended(WITHDRAWN))
        : withdrawn;
  }

  /**
   * Returns whether the ticket's time is not over; to be asked again immediately before the write.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param ticket the ticket that was granted
   */
  public boolean stillValid(long nowNanos, Ticket ticket) {
    return ticket.expiresNanos() - nowNanos > 0;
  }

  /**
   * Records how the granted call has ended.
   *
   * @param ticket the ticket that was granted
   * @param outcome the final outcome of the call
   * @throws IllegalStateException if no call is in progress under the ticket
   */
  public void complete(Ticket ticket, Outcome outcome) {
    Entry ended = new Entry(ticket.expiresNanos(), new TicketUse.Ended(outcome));
    if (!entries.replace(ticket.number(), begun(ticket), ended)) {
      throw new IllegalStateException("No call is in progress under ticket " + ticket.number());
    }
  }

  /**
   * Drops the records whose calls have ended and whose tickets have expired long enough ago.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   */
  public void sweep(long nowNanos) {
    Iterator<Map.Entry<Long, Entry>> i = entries.entrySet().iterator();
    while (i.hasNext()) {
      Map.Entry<Long, Entry> e = i.next();
      Entry entry = e.getValue();
      if (!isDroppable(nowNanos, entry)) {
        continue;
      }
      horizonNanos.accumulateAndGet(entry.expiresNanos(), (h, x) -> x - h > 0 ? x : h);
      if (entries.remove(e.getKey(), entry)) {
        size.decrementAndGet();
      }
    }
  }

  /** Returns the number of remembered uses and withdrawals. */
  public int size() {
    return size.get();
  }

  private Redemption.Refusal refusalOfStranger(Ticket ticket, TicketBinding binding) {
    if (!mint.isOwnerOf(ticket)) {
      return new Redemption.Foreign(ticket.owner(), ticket.incarnation());
    }
    return mint.isGenuine(ticket, binding) ? null : new Redemption.Forged();
  }

  /** Withdraws an unused ticket and returns null, or returns why it could not. */
  private Redemption.Refusal withdrawOwn(long nowNanos, Ticket ticket) {
    Redemption.Refusal refusal = claim(nowNanos, ticket, 2 * capacity);
    if (refusal == null) {
      complete(ticket, WITHDRAWN);
    }
    return refusal;
  }

  /**
   * Records that a call is in progress and returns null, or returns why it could not.
   *
   * <p>The horizon is read after the record was put, since a sweep raises it before it drops one.
   * Until then others see a call in progress, which claims nothing.
   */
  private Redemption.Refusal claim(long nowNanos, Ticket ticket, int limit) {
    Entry before = entries.get(ticket.number());
    if (before != null) {
      return new Redemption.AlreadyUsed(before.use());
    }
    if (!reserve(nowNanos, limit)) {
      return new Redemption.TableFull(false);
    }
    before = entries.putIfAbsent(ticket.number(), begun(ticket));
    if (before != null) {
      size.decrementAndGet();
      return new Redemption.AlreadyUsed(before.use());
    }
    if (ticket.expiresNanos() - horizonNanos.get() <= 0) {
      entries.remove(ticket.number());
      size.decrementAndGet();
      return new Redemption.Expired(false);
    }
    return null;
  }

  private boolean reserve(long nowNanos, int limit) {
    if (tryReserve(limit)) {
      return true;
    }
    long last = lastSweepNanos.get();
    if (nowNanos - last < SWEEP_INTERVAL_NANOS || !lastSweepNanos.compareAndSet(last, nowNanos)) {
      return false;
    }
    sweep(nowNanos);
    return tryReserve(limit);
  }

  private static Entry begun(Ticket ticket) {
    return new Entry(ticket.expiresNanos(), new TicketUse.InProgress());
  }

  private boolean tryReserve(int limit) {
    int before = size.getAndUpdate(n -> n < limit ? n + 1 : n);
    return before < limit;
  }

  private boolean isDroppable(long nowNanos, Entry entry) {
    return entry.use() instanceof TicketUse.Ended
        && nowNanos - entry.expiresNanos() > retentionNanos;
  }
}
