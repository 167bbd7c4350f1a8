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
 * The record of the used tickets of one incarnation.
 *
 * <p>Invariants: {@link Redemption.Execute} is returned at most once for a ticket, whatever times
 * the callers pass. A ticket that was reported as never used is not granted later. A record is
 * dropped only if its call has ended and its ticket has expired. No ticket that expires at or
 * before the horizon is granted; the horizon is raised to a ticket's expiry before its record is
 * dropped.
 *
 * <p>The ledger records at most {@code capacity} uses and the same number of withdrawals; when it
 * is full, it refuses tickets and drops no record early. Reads are lock-free. Thread-safe.
 */
public final class TicketLedger {

  private static final long SWEEP_INTERVAL_NANOS = 100_000_000;
  private static final Outcome WITHDRAWN = new Outcome.NotRun(NotRunReason.WITHDRAWN);

  private final TicketIssuer issuer;
  private final int capacity;
  private final long retentionNanos;
  private final Map<Long, Entry> entries = new ConcurrentHashMap<>();
  private final AtomicInteger size = new AtomicInteger();
  private final AtomicLong horizonNanos;
  private final AtomicLong lastSweepNanos;

  private record Entry(long expiresNanos, TicketUse use) {}

  /**
   * Creates an empty ledger.
   *
   * @param issuer the issuer of the same incarnation
   * @param capacity the maximum number of recorded uses, at least 1
   * @param retentionNanos how long an ended use is kept after its ticket has expired, in
   *     nanoseconds, at least 0
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @throws IllegalArgumentException if a number is out of its range
   */
  public TicketLedger(TicketIssuer issuer, int capacity, long retentionNanos, long nowNanos) {
    if (capacity < 1 || capacity > Integer.MAX_VALUE / 2) {
      throw new IllegalArgumentException(
          "Capacity must be from 1 to " + Integer.MAX_VALUE / 2 + ": " + capacity);
    }
    if (retentionNanos < 0) {
      throw new IllegalArgumentException("Retention must not be negative: " + retentionNanos);
    }
    this.issuer = Objects.requireNonNull(issuer);
    this.capacity = capacity;
    this.retentionNanos = retentionNanos;
    this.horizonNanos = new AtomicLong(nowNanos);
    this.lastSweepNanos = new AtomicLong(nowNanos);
  }

  /**
   * Uses a ticket if it is valid.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param ticket the ticket that was received with the call
   * @param binding the binding of the received call
   */
  public Redemption redeem(long nowNanos, Ticket ticket, TicketBinding binding) {
    Redemption.Refusal refusal = refusalOfUnverified(ticket, binding);
    if (refusal != null) {
      return refusal;
    }
    if (!stillValid(nowNanos, ticket)) {
      Redemption.Refusal withdrawalRefusal = withdrawVerified(nowNanos, ticket);
      return withdrawalRefusal == null ? new Redemption.Expired(true) : withdrawalRefusal;
    }
    Redemption.Refusal useRefusal = recordInProgress(nowNanos, ticket, capacity);
    if (useRefusal instanceof Redemption.TableFull) {
      Redemption.Refusal withdrawalRefusal = withdrawVerified(nowNanos, ticket);
      return withdrawalRefusal == null ? new Redemption.TableFull(true) : withdrawalRefusal;
    }
    return useRefusal == null ? new Redemption.Execute(ticket) : useRefusal;
  }

  /**
   * Withdraws a ticket that was not used before, so that it cannot be used any more.
   *
   * <p>The result {@link Redemption.AlreadyUsed} with {@link NotRunReason#WITHDRAWN} means that the
   * call never ran with this ticket and never will.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param ticket the ticket
   * @param binding the binding of the call that the ticket was issued for
   */
  public Redemption.Refusal withdraw(long nowNanos, Ticket ticket, TicketBinding binding) {
    Redemption.Refusal refusal = refusalOfUnverified(ticket, binding);
    if (refusal != null) {
      return refusal;
    }
    Redemption.Refusal withdrawalRefusal = withdrawVerified(nowNanos, ticket);
    return withdrawalRefusal == null
        ? new Redemption.AlreadyUsed(new TicketUse.Ended(WITHDRAWN))
        : withdrawalRefusal;
  }

  /**
   * Returns whether a ticket has not expired; must be called again immediately before the write.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param ticket the ticket that was granted
   */
  public boolean stillValid(long nowNanos, Ticket ticket) {
    return ticket.expiresNanos() - nowNanos > 0;
  }

  /**
   * Records the outcome of a granted call.
   *
   * @param ticket the ticket that was granted
   * @param outcome the final outcome of the call
   * @throws IllegalStateException if no call is in progress with the ticket
   */
  public void complete(Ticket ticket, Outcome outcome) {
    Entry ended = new Entry(ticket.expiresNanos(), new TicketUse.Ended(outcome));
    if (!entries.replace(ticket.number(), inProgress(ticket), ended)) {
      throw new IllegalStateException("No call is in progress with ticket " + ticket.number());
    }
  }

  /**
   * Drops the records whose calls have ended and whose retention time after the ticket's expiry is
   * over.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public void sweep(long nowNanos) {
    Iterator<Map.Entry<Long, Entry>> i = entries.entrySet().iterator();
    while (i.hasNext()) {
      Map.Entry<Long, Entry> e = i.next();
      Entry entry = e.getValue();
      if (!canBeDropped(nowNanos, entry)) {
        continue;
      }
      horizonNanos.accumulateAndGet(
          entry.expiresNanos(), (horizon, expiry) -> expiry - horizon > 0 ? expiry : horizon);
      if (entries.remove(e.getKey(), entry)) {
        size.decrementAndGet();
      }
    }
  }

  /** Returns the number of recorded uses and withdrawals. */
  public int size() {
    return size.get();
  }

  private Redemption.Refusal refusalOfUnverified(Ticket ticket, TicketBinding binding) {
    if (!issuer.isOwnerOf(ticket)) {
      return new Redemption.Foreign(ticket.owner(), ticket.incarnation());
    }
    return issuer.isGenuine(ticket, binding) ? null : new Redemption.Forged();
  }

  /**
   * Withdraws an unused ticket and returns null, or returns the refusal if it cannot be withdrawn.
   */
  private Redemption.Refusal withdrawVerified(long nowNanos, Ticket ticket) {
    Redemption.Refusal refusal = recordInProgress(nowNanos, ticket, 2 * capacity);
    if (refusal == null) {
      complete(ticket, WITHDRAWN);
    }
    return refusal;
  }

  /**
   * Records that a call is in progress and returns null, or returns the refusal if it cannot be
   * recorded.
   *
   * <p>The horizon is read after the record is stored, since a sweep raises the horizon before it
   * drops a record. Until then, other threads see a call in progress, for which no outcome is
   * reported as certain.
   */
  private Redemption.Refusal recordInProgress(long nowNanos, Ticket ticket, int limit) {
    Entry existing = entries.get(ticket.number());
    if (existing != null) {
      return new Redemption.AlreadyUsed(existing.use());
    }
    if (!reserve(nowNanos, limit)) {
      return new Redemption.TableFull(false);
    }
    existing = entries.putIfAbsent(ticket.number(), inProgress(ticket));
    if (existing != null) {
      size.decrementAndGet();
      return new Redemption.AlreadyUsed(existing.use());
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
    long lastNanos = lastSweepNanos.get();
    if (nowNanos - lastNanos < SWEEP_INTERVAL_NANOS
        || !lastSweepNanos.compareAndSet(lastNanos, nowNanos)) {
      return false;
    }
    sweep(nowNanos);
    return tryReserve(limit);
  }

  private static Entry inProgress(Ticket ticket) {
    return new Entry(ticket.expiresNanos(), new TicketUse.InProgress());
  }

  private boolean tryReserve(int limit) {
    int existing = size.getAndUpdate(n -> n < limit ? n + 1 : n);
    return existing < limit;
  }

  private boolean canBeDropped(long nowNanos, Entry entry) {
    return entry.use() instanceof TicketUse.Ended
        && nowNanos - entry.expiresNanos() > retentionNanos;
  }
}
