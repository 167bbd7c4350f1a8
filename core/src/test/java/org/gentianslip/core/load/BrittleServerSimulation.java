package org.gentianslip.core.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.stream.IntStream;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.limit.ColdRate;
import org.gentianslip.core.limit.EngineSubsetting;
import org.gentianslip.core.limit.LimitShare;
import org.gentianslip.core.limit.RefusalShare;
import org.gentianslip.core.limit.StatedLimit;

/**
 * Instances that always have requests for one backend server, in virtual time. The backend server
 * bears few refusals, and stops to let requests wait while the simulation runs.
 */
final class BrittleServerSimulation {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long ONE_WAY_NANOS = MILLI;

  /** The time between two reports of an instance's load to the others, and until they arrive. */
  private static final long REPORT_NANOS = 300 * MILLI;

  private static final EngineId SERVER = EngineId.of("e");

  private record Event(long nanos, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos));
  private final List<InstanceId> ids;
  private final List<BackendLoad> loads = new ArrayList<>();
  private final Deque<Long> refusals = new ArrayDeque<>();
  private final int slots;
  private final double perSecond;
  private final long serviceNanos;
  private long now;
  private int queue;
  private int taken;
  private int mostRefusals;
  private int served;

  BrittleServerSimulation(int instances, int slots, double perSecond, long serviceMillis) {
    this.ids = IntStream.range(0, instances).mapToObj(i -> InstanceId.of("i" + i)).toList();
    this.slots = slots;
    this.queue = 2 * slots;
    this.perSecond = perSecond;
    this.serviceNanos = serviceMillis * MILLI;
    ids.forEach(id -> loads.add(new BackendLoad(slots, null)));
  }

  /** Starts counting the refusals anew. */
  void resetRefusals() {
    refusals.clear();
    mostRefusals = 0;
  }

  /** Returns the most refusals in any second since the last reset. */
  int mostRefusals() {
    return mostRefusals;
  }

  /** Returns the share of the requests that full slots would have served in a time. */
  double servedShare(long millis) {
    return (double) served * serviceNanos / (slots * millis * MILLI);
  }

  /** Takes some slots by requests that no instance knows of. */
  void takeSlots(int number) {
    taken += number;
  }

  /** Ends the waiting of requests at the backend server. */
  void endQueue() {
    queue = 0;
  }

  /** Lets all instances send whenever they may. */
  void run(long millis) {
    long end = now + millis * MILLI;
    for (; now < end; now += MILLI) {
      while (!events.isEmpty() && events.peek().nanos() <= now) {
        events.poll().action().run();
      }
      if (now % REPORT_NANOS == 0) {
        reportLoads();
      }
      for (int i = 0; i < ids.size(); i++) {
        sendIfAllowed(i);
      }
    }
  }

  private void reportLoads() {
    for (int i = 0; i < ids.size(); i++) {
      LoadSource source = LoadSource.instance(ids.get(i));
      BackendLoad load = loads.get(i);
      PeerLoad sent = load.localLoad(now + REPORT_NANOS);
      after(
          REPORT_NANOS,
          () -> loads.stream().filter(l -> l != load).forEach(l -> l.recordPeerLoad(source, sent)));
    }
  }

  private void after(long nanos, Runnable action) {
    events.add(new Event(now + nanos, action));
  }

  private void sendIfAllowed(int index) {
    BackendLoad load = loads.get(index);
    if (!load.acceptsWork(now, () -> ColdRate.UNLIMITED)
        || !load.isWithinRefusalLimit(now, SERVER, ratesOf(ids.get(index)))) {
      return;
    }
    BackendEstimate estimate = load.estimate(now, false, RequestSize.UNKNOWN, Optional.empty());
    Reservation reservation = load.reserve(now, false, RequestSize.UNKNOWN, estimate);
    after(ONE_WAY_NANOS, () -> receive(load, reservation));
  }

  private void receive(BackendLoad load, Reservation reservation) {
    if (taken >= slots + queue) {
      refusals.addLast(now);
      while (now - refusals.peekFirst() >= SECOND) {
        refusals.removeFirst();
      }
      mostRefusals = Math.max(mostRefusals, refusals.size());
      after(ONE_WAY_NANOS, () -> answered(load, () -> reservation.refusedAsFull(now)));
      return;
    }
    taken++;
    long waitNanos = (long) Math.max(0, taken - slots) * serviceNanos / slots;
    after(
        waitNanos + serviceNanos,
        () -> {
          taken--;
          served++;
          after(ONE_WAY_NANOS, () -> answered(load, () -> reservation.succeeded(now)));
        });
  }

  private void answered(BackendLoad load, Runnable end) {
    load.applyRefusalLimit(new StatedLimit(perSecond, now));
    end.run();
  }

  private SendRates ratesOf(InstanceId self) {
    return new SendRates() {
      @Override
      public int coldPerSecond(EngineId backend) {
        return ColdRate.UNLIMITED;
      }

      @Override
      public long intervalNanos(EngineId backend, double limit) {
        return 0;
      }

      @Override
      public int portion(EngineId backend, int total) {
        return EngineSubsetting.shareOf(self, ids, backend, ids.size())
            .orElseThrow()
            .portionOfFree(total);
      }

      @Override
      public int places(EngineId backend, int number) {
        return portion(backend, number);
      }

      @Override
      public RefusalShare refusals(EngineId backend, double limit) {
        return LimitShare.refusals(self, ids, 1, backend, limit);
      }
    };
  }
}
