package org.gentianslip.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Finds the requests and the parts of prompts that explain the crashes of engines.
 *
 * <p>A crash counts against a part if a request with it was waiting for its answer then and no
 * request with the part that was sent later has completed. Parts are examined from the last to the
 * first position in their prompts, as a part occurs in all prompts in which a later one occurs. The
 * crashes that a part explains do not count against others.
 *
 * <p>Requests that are repeated unchanged are examined first, by their fingerprint: other requests
 * with the same parts run at the same engines and so are broken off by the same crashes. All
 * crashes that such a request explains count once against its parts. Stateless and thread-safe.
 */
final class CrashAnalysis {

  /** Reports about one engine within this time are about the same crash. */
  private static final long SAME_CRASH_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Crashes closer than this count once unless the request was sent after the earlier one, since
   * many engines may fail at once for a reason that has nothing to do with prompts.
   */
  private static final long SEPARATE_CRASH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** The crashes that suffice for a part with which no answer has completed. */
  private static final int MIN_CRASHES = 3;

  /** The crashes that suffice for a part with which answers have completed before. */
  private static final int MIN_CRASHES_OF_COMPLETED = 6;

  /** The number of different prompts with the part that were involved. */
  private static final int MIN_PROMPTS = 2;

  private static final long FIRST_HOLD_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long MAX_HOLD_NANOS = TimeUnit.MINUTES.toNanos(5);
  private static final long MAX_REQUEST_HOLD_NANOS = TimeUnit.MINUTES.toNanos(30);

  /** A crash of an engine and the requests that were waiting for their answers from it. */
  private record Crash(long nanos, List<CrashReport> reports) {

    boolean hasAny(Set<String> fingerprints) {
      return reports.stream().anyMatch(r -> fingerprints.contains(r.fingerprint()));
    }
  }

  /** What counts against one part. */
  private static final class Suspect {
    private final String part;
    private int position;
    private int crashes;
    private long lastCrashNanos;
    private final Set<String> prompts = new HashSet<>();

    Suspect(String part) {
      this.part = part;
    }

    int crashes() {
      return crashes;
    }

    int position() {
      return position;
    }

    String part() {
      return part;
    }
  }

  private CrashAnalysis() {}

  private static boolean isSameCrash(CrashReport a, CrashReport b) {
    return a.engine().equals(b.engine())
        && Math.abs(a.crashedNanos() - b.crashedNanos()) < SAME_CRASH_NANOS;
  }

  /**
   * Returns the verdicts by part or fingerprint.
   *
   * @param reports the known crashes
   * @param completed returns when the last request with a part that has completed was sent
   */
  static Map<String, Verdict> verdicts(
      List<CrashReport> reports, Function<String, OptionalLong> completed) {
    List<Crash> all = group(reports);
    Map<String, Verdict> verdicts = new HashMap<>(requestVerdicts(all, completed));
    List<Crash> crashes = mergeExplained(all, Set.copyOf(verdicts.keySet()));
    while (true) {
      Optional<Suspect> found =
          suspects(crashes, completed, CrashReport::parts).stream()
              .filter(s -> isConvincing(s, completed.apply(s.part).isPresent()))
              .findFirst();
      if (found.isEmpty()) {
        return verdicts;
      }
      String part = found.get().part;
      verdicts.put(part, verdict(found.get(), completed.apply(part).isPresent()));
      crashes.removeIf(c -> c.reports().stream().anyMatch(r -> r.parts().contains(part)));
    }
  }

  private static Map<String, Verdict> requestVerdicts(
      List<Crash> crashes, Function<String, OptionalLong> completed) {
    Map<String, Verdict> verdicts = new HashMap<>();
    List<Crash> unexplained = new ArrayList<>(crashes);
    while (true) {
      List<Suspect> suspects = suspects(unexplained, completed, CrashReport::knownFingerprint);
      int most = suspects.stream().mapToInt(Suspect::crashes).max().orElse(0);
      if (most < MIN_CRASHES) {
        return verdicts;
      }
      suspects.stream()
          .filter(s -> s.crashes == most)
          .forEach(s -> verdicts.put(s.part, requestVerdict(s)));
      unexplained.removeIf(c -> c.hasAny(verdicts.keySet()));
    }
  }

  private static Verdict requestVerdict(Suspect suspect) {
    int shift = Math.min(10, 2 * (suspect.crashes - MIN_CRASHES));
    long holdNanos = Math.min(MAX_REQUEST_HOLD_NANOS, FIRST_HOLD_NANOS << shift);
    return new Verdict(suspect.part, suspect.crashes, suspect.lastCrashNanos + holdNanos);
  }

  /** Keeps only the last of the crashes that each of the given requests explains. */
  private static List<Crash> mergeExplained(List<Crash> crashes, Set<String> requests) {
    Set<String> seen = new HashSet<>();
    List<Crash> merged = new ArrayList<>();
    for (int i = crashes.size() - 1; i >= 0; i--) {
      Crash crash = crashes.get(i);
      if (!crash.hasAny(requests)) {
        merged.add(crash);
        continue;
      }
      List<CrashReport> first =
          crash.reports().stream()
              .filter(r -> requests.contains(r.fingerprint()) && seen.add(r.fingerprint()))
              .toList();
      if (!first.isEmpty()) {
        merged.add(new Crash(crash.nanos(), first));
      }
    }
    Collections.reverse(merged);
    return merged;
  }

  private static boolean isConvincing(Suspect suspect, boolean completedBefore) {
    return suspect.crashes >= required(completedBefore) && suspect.prompts.size() >= MIN_PROMPTS;
  }

  private static int required(boolean completedBefore) {
    return completedBefore ? MIN_CRASHES_OF_COMPLETED : MIN_CRASHES;
  }

  private static Verdict verdict(Suspect suspect, boolean completedBefore) {
    int doublings = Math.min(10, suspect.crashes - required(completedBefore));
    long holdNanos = Math.min(MAX_HOLD_NANOS, FIRST_HOLD_NANOS << doublings);
    return new Verdict(suspect.part, suspect.crashes, suspect.lastCrashNanos + holdNanos);
  }

  private static List<Crash> group(List<CrashReport> reports) {
    List<CrashReport> ordered = new ArrayList<>(reports);
    ordered.sort(Comparator.comparingLong(CrashReport::crashedNanos));
    List<Crash> crashes = new ArrayList<>();
    Map<String, Crash> latestByEngine = new HashMap<>();
    for (CrashReport r : ordered) {
      Crash latest = latestByEngine.get(r.engine().value());
      if (latest == null || !isSameCrash(latest.reports().get(0), r)) {
        latest = new Crash(r.crashedNanos(), new ArrayList<>());
        latestByEngine.put(r.engine().value(), latest);
        crashes.add(latest);
      }
      latest.reports().add(r);
    }
    return crashes;
  }

  /**
   * Returns the suspects in the order in which they are examined.
   *
   * @param partsOf returns the parts of a broken request that are suspects
   */
  private static List<Suspect> suspects(
      List<Crash> crashes,
      Function<String, OptionalLong> completed,
      Function<CrashReport, List<String>> partsOf) {
    Map<String, Suspect> suspects = new HashMap<>();
    for (Crash crash : crashes) {
      Map<String, Long> lastSent = new HashMap<>();
      for (CrashReport r : crash.reports()) {
        addReport(r, partsOf.apply(r), completed, suspects, lastSent);
      }
      lastSent.forEach((part, sentNanos) -> count(suspects.get(part), sentNanos, crash.nanos()));
    }
    List<Suspect> ordered = new ArrayList<>(suspects.values());
    ordered.sort(
        Comparator.comparingInt(Suspect::position)
            .thenComparingInt(Suspect::crashes)
            .reversed()
            .thenComparing(Suspect::part));
    return ordered;
  }

  private static void addReport(
      CrashReport report,
      List<String> parts,
      Function<String, OptionalLong> completed,
      Map<String, Suspect> suspects,
      Map<String, Long> lastSent) {
    for (int i = 0; i < parts.size(); i++) {
      String part = parts.get(i);
      OptionalLong completedNanos = completed.apply(part);
      if (completedNanos.isPresent() && report.sentNanos() - completedNanos.getAsLong() <= 0) {
        continue;
      }
      Suspect suspect = suspects.computeIfAbsent(part, Suspect::new);
      suspect.position = Math.max(suspect.position, i);
      suspect.prompts.add(report.prompt());
      lastSent.merge(part, report.sentNanos(), (a, b) -> a - b > 0 ? a : b);
    }
  }

  private static void count(Suspect suspect, long sentNanos, long crashedNanos) {
    boolean separate =
        suspect.crashes == 0
            || sentNanos - suspect.lastCrashNanos >= 0
            || crashedNanos - suspect.lastCrashNanos >= SEPARATE_CRASH_NANOS;
    if (separate) {
      suspect.crashes++;
      suspect.lastCrashNanos = crashedNanos;
    }
  }
}
