package org.gentianslip.core.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gentianslip.core.fleet.ServiceWait;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.published.Backend;

/**
 * The backend servers of one service that this instance may use.
 *
 * <p>For a request, every member of a small group is a candidate. Of a large group, a bounded
 * number of members are candidates: the engines that are known to hold the prompt, the preferred
 * member and a random sample. Immutable except for the loads, and thread-safe.
 */
public final class BackendGroup {

  /** A group without members. */
  public static final BackendGroup EMPTY = BackendGroup.of(List.of());

  /**
   * The largest group of which every member is a candidate. Evaluating more members would take too
   * long for each request.
   */
  static final int MAX_FULL_SCAN = 48;

  /**
   * The number of members drawn at random. The best of 24 is among the least loaded tenth with a
   * probability of 92 %.
   */
  static final int SAMPLE_SIZE = 24;

  /** The number of holders of a prompt that are candidates, the most recent first. */
  static final int MAX_HOLDERS = 8;

  /** The number of points of the ring that are examined for a preferred member. */
  private static final int MAX_PROBES = 64;

  private static final double NANOS_PER_MILLI = 1e6;

  private final List<Member> members;
  private final Map<EngineId, Integer> indexById = new HashMap<>();
  private final HashRing ring;
  private final Optional<DataCentreId> ownDataCentre;

  /**
   * A backend server and its load.
   *
   * @param backend the backend server
   * @param load its load
   */
  public record Member(Backend backend, BackendLoad load) {

    private boolean acceptsWork(long nowNanos, SendRates rates) {
      EngineId id = backend.id();
      return load.acceptsWork(nowNanos, rates.coldShare(id))
          && load.isWithinPace(nowNanos, total -> rates.portion(id, total))
          && load.isWithinLimit(nowNanos, perSecond -> rates.intervalNanos(id, perSecond))
          && load.isWithinRefusalLimit(nowNanos, id, rates);
    }
  }

  private BackendGroup(List<Member> members, Optional<DataCentreId> ownDataCentre) {
    this.ownDataCentre = ownDataCentre;
    this.members = List.copyOf(members);
    for (int i = 0; i < members.size(); i++) {
      indexById.put(members.get(i).backend().id(), i);
    }
    List<String> names = members.stream().map(m -> m.backend().id().value()).toList();
    int[] slots = members.stream().mapToInt(m -> Math.max(1, m.backend().slots())).toArray();
    ring = new HashRing(names, slots);
  }

  /** Returns a group of the given members. */
  public static BackendGroup of(List<Member> members) {
    return new BackendGroup(members, Optional.empty());
  }

  /**
   * Returns a group of the given members, of which those in the own data centre are preferred at
   * equal cost.
   */
  public static BackendGroup of(List<Member> members, DataCentreId ownDataCentre) {
    return new BackendGroup(members, Optional.of(ownDataCentre));
  }

  /**
   * Returns the backend servers to choose from for a request.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param rates the rates at which this instance may send to backend servers that restrict them
   * @param usable accepts the backend servers that the request may use
   * @param size the size of the request
   * @param holders the engines that hold the shared part of its prompt, the best first
   * @param random the source of the random sample
   */
  public Candidates candidates(
      long nowNanos,
      SendRates rates,
      Predicate<EngineId> usable,
      RequestSize size,
      List<EngineId> holders,
      RandomGenerator random) {
    if (members.isEmpty()) {
      return Candidates.NONE;
    }
    Predicate<Member> eligible =
        m -> usable.test(m.backend().id()) && m.acceptsWork(nowNanos, rates);
    int preferred =
        size.sharedPart()
            .map(p -> ring.find(p.id(), MAX_PROBES, i -> eligible.test(members.get(i))))
            .orElse(-1);
    List<BackendOption> options = List.of();
    if (members.size() > MAX_FULL_SCAN) {
      options = eligibleOptions(eligible, sample(preferred, holders, random));
    }
    if (options.isEmpty()) {
      options = eligibleOptions(eligible, members);
    }
    return new Candidates(
        options,
        preferred < 0 ? Optional.empty() : Optional.of(members.get(preferred).backend().id()),
        ownDataCentre,
        options.isEmpty() ? shortestPauseNanos(nowNanos, usable) : 0);
  }

  /**
   * Returns what one more request of unknown size may expect at the best of the members.
   *
   * <p>If none of them accepts work, the first to accept some at a known time counts; the value is
   * empty if there is none either.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param rates the rates at which this instance may send to backend servers that restrict them
   * @param random the source of the random sample
   */
  public Optional<ServiceWait> expectedWait(
      long nowNanos, SendRates rates, RandomGenerator random) {
    return candidates(nowNanos, rates, id -> true, RequestSize.UNKNOWN, List.of(), random)
        .options()
        .stream()
        .map(o -> o.load().estimate(nowNanos, false, RequestSize.UNKNOWN, Optional.empty()))
        .min(Comparator.comparingDouble(e -> e.waitMillis() + e.failureMillis()))
        .map(e -> ServiceWait.bounded(e.waitMillis(), e.failureMillis()))
        .or(() -> waitOfBlocked(nowNanos));
  }

  private Optional<ServiceWait> waitOfBlocked(long nowNanos) {
    return members.stream()
        .map(m -> m.load().blockedNanos(nowNanos))
        .filter(nanos -> nanos > 0)
        .min(Comparator.naturalOrder())
        .map(nanos -> ServiceWait.bounded(nanos / NANOS_PER_MILLI, 0));
  }

  /** Returns the time after which the first of the usable members wants work again, or 0. */
  private long shortestPauseNanos(long nowNanos, Predicate<EngineId> usable) {
    return members.stream()
        .filter(m -> usable.test(m.backend().id()))
        .mapToLong(m -> m.load().pauseNanos(nowNanos))
        .min()
        .orElse(0);
  }

  private List<Member> sample(int preferred, List<EngineId> holders, RandomGenerator random) {
    Set<Integer> chosen = new LinkedHashSet<>();
    if (preferred >= 0) {
      chosen.add(preferred);
    }
    holders.stream()
        .limit(MAX_HOLDERS)
        .map(indexById::get)
        .filter(i -> i != null)
        .forEach(chosen::add);
    for (int i = 0; i < SAMPLE_SIZE; i++) {
      chosen.add(random.nextInt(members.size()));
    }
    return chosen.stream().map(members::get).toList();
  }

  private static List<BackendOption> eligibleOptions(
      Predicate<Member> eligible, List<Member> source) {
    List<BackendOption> options = new ArrayList<>(source.size());
    for (Member m : source) {
      if (eligible.test(m)) {
        options.add(new BackendOption(m.backend(), m.load(), Optional.empty()));
      }
    }
    return options;
  }
}
