package org.gentianslip.core.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * One event loop in virtual time that reads, handles and answers requests in passes, as an instance
 * does; its processor takes a given time for each step.
 */
final class VirtualProcessor {

  static final double READ_MILLIS = 0.4;
  static final double REFUSE_MILLIS = 0.3;
  static final double SEND_MILLIS = 4;
  static final double ANSWER_MILLIS = 3.6;
  static final double ADMITTED_MILLIS = READ_MILLIS + SEND_MILLIS + ANSWER_MILLIS;
  static final double REFUSED_MILLIS = READ_MILLIS + REFUSE_MILLIS;
  static final long URGENT_OBJECTIVE = 810;
  static final long OTHER_OBJECTIVE = 600;
  static final long DEADLINE = 5_000;

  private static final double NANOS = 1e6;

  /** A request; its times are in milliseconds. */
  static final class Call {
    final double arrivedMillis;
    final boolean urgent;
    double readMillis;
    boolean admitted;
    double answeredMillis = Double.NaN;

    Call(double arrivedMillis, boolean urgent) {
      this.arrivedMillis = arrivedMillis;
      this.urgent = urgent;
    }

    boolean inTime() {
      long objective = urgent ? URGENT_OBJECTIVE : OTHER_OBJECTIVE;
      return answeredMillis - arrivedMillis <= objective;
    }
  }

  private record Ready(double atMillis, Call call, boolean answer) {}

  final ProcessorLoad load = new ProcessorLoad();
  final ProcessorAdmission admission = new ProcessorAdmission();
  final List<Call> calls = new ArrayList<>();
  final List<Double> admittedAt = new ArrayList<>();
  final List<Double> refusedAt = new ArrayList<>();
  private final SplittableRandom random;
  private final PriorityQueue<Ready> socket =
      new PriorityQueue<>(Comparator.comparingDouble(Ready::atMillis));
  private final Deque<Call> tasks = new ArrayDeque<>();
  private double nowMillis;

  VirtualProcessor(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Lets requests arrive at random, with a load relative to the capacity if all are admitted. */
  void play(double fromMillis, double toMillis, double relativeLoad) {
    double meanMillis = ADMITTED_MILLIS / relativeLoad;
    double at = fromMillis;
    while (at < toMillis) {
      at -= Math.log(1 - random.nextDouble()) * meanMillis;
      var call = new Call(at, random.nextBoolean());
      calls.add(call);
      socket.add(new Ready(at, call, false));
    }
    while (!socket.isEmpty() || !tasks.isEmpty()) {
      pass();
    }
  }

  long nowNanos() {
    return (long) (nowMillis * NANOS);
  }

  private void pass() {
    if (tasks.isEmpty() && socket.peek().atMillis() > nowMillis) {
      nowMillis = socket.peek().atMillis();
    }
    int before = tasks.size();
    for (Ready ready : selected()) {
      if (ready.answer()) {
        nowMillis += ANSWER_MILLIS;
        ready.call().answeredMillis = nowMillis;
      } else {
        nowMillis += READ_MILLIS;
        ready.call().readMillis = nowMillis;
        tasks.add(ready.call());
      }
    }
    for (int i = 0; i < before; i++) {
      handle(tasks.remove());
    }
  }

  private List<Ready> selected() {
    List<Ready> selected = new ArrayList<>();
    while (!socket.isEmpty() && socket.peek().atMillis() <= nowMillis) {
      selected.add(socket.remove());
    }
    return selected;
  }

  private void handle(Call call) {
    long waitNanos = (long) ((nowMillis - call.readMillis) * NANOS);
    load.record(nowNanos(), waitNanos);
    long objective = call.urgent ? URGENT_OBJECTIVE : OTHER_OBJECTIVE;
    ProcessorDecision decision =
        admission.decide(nowNanos(), load, waitNanos, call.urgent, objective, DEADLINE);
    call.admitted = decision instanceof ProcessorDecision.Admitted;
    if (!call.admitted) {
      nowMillis += REFUSE_MILLIS;
      refusedAt.add(nowMillis);
      return;
    }
    nowMillis += SEND_MILLIS;
    admittedAt.add(nowMillis);
    socket.add(new Ready(nowMillis + 30 + random.nextInt(170), call, true));
  }
}
