package org.gentianslip.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * Keeps requests away from engines if they, or a part of their prompts, crash engines.
 *
 * <p>Crashes and completed answers of all instances are the evidence, counted for the parts of a
 * prompt and for the request as a whole, by its fingerprint; both are called parts here. A part
 * stays in quarantine for a time that doubles with each further crash; then one instance may try a
 * single request with it. A completed answer ends the quarantine. Verdicts are replaced as a whole,
 * so that requests read them without a lock; the object's lock guards the evidence. Thread-safe.
 */
public final class PromptQuarantine {

  /** How long a crash is remembered. */
  private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(30);

  /** How long the completed answers of a part are remembered. */
  private static final long COMPLETION_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** The maximum number of parts whose completed answers are remembered. */
  private static final int MAX_COMPLETED = 20_000;

  /** The minimum time between two analyses. */
  private static final long ANALYSIS_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** The minimum time between two reports of completed answers of a part. */
  private static final long COMPLETION_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** The time between two tries of a part whose quarantine is over. */
  private static final long TRY_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long PRUNE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final InstanceId self;
  private final EvidenceLog log = new EvidenceLog();
  private final Map<String, Long> completed = new ConcurrentHashMap<>();

  /** The time at which the latest request that crashed an engine was sent, by part. */
  private final Map<String, Long> crashSent = new ConcurrentHashMap<>();

  /** What this instance has last told others about the completed answers of a part. */
  private final Map<String, CompletionReport> reported = new ConcurrentHashMap<>();

  private final Map<String, Long> reportedNanos = new HashMap<>();
  private final Map<String, Long> triedNanos = new ConcurrentHashMap<>();
  private final List<QuarantineChange> changes = new ArrayList<>();
  private volatile Map<String, Verdict> verdicts = Map.of();
  private volatile boolean outdated;
  private long analysedNanos;
  private long prunedNanos;

  /** Creates a quarantine without evidence, for the given instance. */
  public PromptQuarantine(InstanceId self, long nowNanos) {
    this.self = self;
    this.analysedNanos = nowNanos - ANALYSIS_NANOS;
    this.prunedNanos = nowNanos;
  }

  /**
   * Returns how long a request may not be sent to engines, in nanoseconds, or an empty value if it
   * may be sent now.
   *
   * <p>A request that may be sent because the quarantine of a part is over uses up the try of that
   * part.
   *
   * @param tries tests whether this instance tries a part whose quarantine is over
   */
  public OptionalLong holdNanos(long nowNanos, RequestTraits traits, Predicate<String> tries) {
    refreshIfOutdated(nowNanos);
    Map<String, Verdict> current = verdicts;
    if (current.isEmpty()) {
      return OptionalLong.empty();
    }
    for (String part : partsOf(traits)) {
      Verdict verdict = current.get(part);
      if (verdict != null) {
        long holdNanos = holdNanos(nowNanos, verdict, tries);
        if (holdNanos > 0) {
          return OptionalLong.of(holdNanos);
        }
      }
    }
    return OptionalLong.empty();
  }

  private long holdNanos(long nowNanos, Verdict verdict, Predicate<String> tries) {
    long leftNanos = verdict.untilNanos() - nowNanos;
    if (leftNanos > 0) {
      return leftNanos;
    }
    if (!tries.test(verdict.part())) {
      return TRY_NANOS;
    }
    Long previous = triedNanos.get(verdict.part());
    if (previous != null && nowNanos - previous < TRY_NANOS) {
      return TRY_NANOS - (nowNanos - previous);
    }
    boolean claimed =
        previous == null
            ? triedNanos.putIfAbsent(verdict.part(), nowNanos) == null
            : triedNanos.replace(verdict.part(), previous, nowNanos);
    return claimed ? 0 : TRY_NANOS;
  }

  private static List<String> partsOf(RequestTraits traits) {
    List<String> parts = new ArrayList<>(traits.sharedParts());
    parts.add(traits.fingerprint());
    return parts;
  }

  /** Returns the present findings. */
  public Collection<Verdict> verdicts() {
    return verdicts.values();
  }

  /** Records that an engine broke off a request of this instance before its answer had begun. */
  public void recordCrash(
      String request, EngineId engine, RequestTraits traits, long sentNanos, long nowNanos) {
    applyCrash(
        nowNanos,
        self,
        new CrashReport(
            request,
            engine,
            traits.sharedParts(),
            traits.prompt(),
            traits.fingerprint(),
            sentNanos,
            nowNanos));
  }

  /** Records a crash that another instance reports. */
  public synchronized void applyCrash(long nowNanos, InstanceId source, CrashReport crash) {
    boolean expired = nowNanos - crash.crashedNanos() >= RETENTION_NANOS;
    if (expired || !log.addCrash(source, crash)) {
      return;
    }
    Stream.concat(crash.parts().stream(), crash.knownFingerprint().stream())
        .forEach(part -> recordCrashOf(nowNanos, part, crash.sentNanos()));
    outdated = true;
  }

  private void recordCrashOf(long nowNanos, String part, long sentNanos) {
    crashSent.merge(part, sentNanos, PromptQuarantine::later);
    Long completedNanos = completed.get(part);
    if (completedNanos != null) {
      reportCompletion(nowNanos, part, completedNanos);
    }
  }

  /** Records that an engine has completed an answer to a request of this instance. */
  public void recordCompletion(RequestTraits traits, long sentNanos, long nowNanos) {
    for (String part : traits.sharedParts()) {
      recordCompletion(part, sentNanos, nowNanos);
    }
    if (!crashSent.isEmpty() && crashSent.containsKey(traits.fingerprint())) {
      recordCompletion(traits.fingerprint(), sentNanos, nowNanos);
    }
  }

  private void recordCompletion(String part, long sentNanos, long nowNanos) {
    completed.merge(part, sentNanos, PromptQuarantine::later);
    if (hasUnrefutedCrash(part)) {
      reportCompletion(nowNanos, part, sentNanos);
    }
  }

  /** Records completed answers that another instance reports. */
  public synchronized void applyCompletion(
      long nowNanos, InstanceId source, CompletionReport completion) {
    Long known = completed.get(completion.part());
    boolean expired = nowNanos - completion.sentNanos() >= RETENTION_NANOS;
    boolean older = known != null && completion.sentNanos() - known <= 0;
    if (expired || older || !hasUnrefutedCrash(completion.part())) {
      return;
    }
    completed.put(completion.part(), completion.sentNanos());
    log.putCompletion(source, completion);
    reported.put(completion.part(), completion);
    outdated = true;
  }

  /** Returns whether others have not been told of a completion that refutes all known crashes. */
  private boolean hasUnrefutedCrash(String part) {
    Long crashNanos = crashSent.get(part);
    CompletionReport previous = reported.get(part);
    return crashNanos != null && (previous == null || crashNanos - previous.sentNanos() > 0);
  }

  private synchronized void reportCompletion(long nowNanos, String part, long sentNanos) {
    outdated = true;
    CompletionReport previous = reported.get(part);
    boolean older = previous != null && sentNanos - previous.sentNanos() <= 0;
    Long lastNanos = reportedNanos.get(part);
    boolean tooSoon = lastNanos != null && nowNanos - lastNanos < COMPLETION_REPORT_NANOS;
    if (older || tooSoon) {
      return;
    }
    var completion = new CompletionReport(part, sentNanos);
    reported.put(part, completion);
    reportedNanos.put(part, nowNanos);
    log.putCompletion(self, completion);
  }

  private static long later(long a, long b) {
    return a - b > 0 ? a : b;
  }

  /**
   * Returns the evidence recorded after a change and not reported by the receiver.
   *
   * @param after the number of the change
   * @param limit the maximum number of reports of each type
   */
  public synchronized EvidenceBatch recordedAfter(long after, InstanceId receiver, int limit) {
    return log.recordedAfter(after, receiver, limit);
  }

  private void refreshIfOutdated(long nowNanos) {
    if (outdated) {
      analyse(nowNanos);
    }
  }

  private synchronized void analyse(long nowNanos) {
    if (nowNanos - analysedNanos < ANALYSIS_NANOS) {
      return;
    }
    analysedNanos = nowNanos;
    outdated = false;
    Map<String, Verdict> before = verdicts;
    Map<String, Verdict> after = CrashAnalysis.verdicts(log.crashes(), this::completedNanos);
    verdicts = Map.copyOf(after);
    after.forEach((part, v) -> addChange(!before.containsKey(part), v, true));
    before.forEach((part, v) -> addChange(!after.containsKey(part), v, false));
  }

  private void addChange(boolean changed, Verdict verdict, boolean begun) {
    if (changed) {
      changes.add(new QuarantineChange(verdict, begun));
    }
  }

  private OptionalLong completedNanos(String part) {
    Long nanos = completed.get(part);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }

  /**
   * Drops old evidence and returns the quarantines that have begun or ended since the last call;
   * must be called regularly.
   */
  public synchronized List<QuarantineChange> update(long nowNanos) {
    if (nowNanos - prunedNanos >= PRUNE_NANOS) {
      prunedNanos = nowNanos;
      prune(nowNanos);
    }
    refreshIfOutdated(nowNanos);
    List<QuarantineChange> drained = List.copyOf(changes);
    changes.clear();
    return drained;
  }

  private void prune(long nowNanos) {
    log.dropBefore(nowNanos - RETENTION_NANOS);
    crashSent.values().removeIf(t -> nowNanos - t >= RETENTION_NANOS);
    completed
        .entrySet()
        .removeIf(
            e -> nowNanos - e.getValue() >= COMPLETION_NANOS && !crashSent.containsKey(e.getKey()));
    if (completed.size() > MAX_COMPLETED) {
      completed.keySet().retainAll(crashSent.keySet());
    }
    reported.keySet().retainAll(crashSent.keySet());
    reportedNanos.keySet().retainAll(crashSent.keySet());
    triedNanos.keySet().retainAll(verdicts.keySet());
    outdated = true;
  }
}
