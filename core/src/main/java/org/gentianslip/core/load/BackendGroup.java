package org.gentianslip.core.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.published.Backend;

/**
 * Holds the backend servers of one service that an instance may use, and names those to weigh for a
 * request.
 *
 * <p>A small group is weighed as a whole. Of a large one a fixed number is weighed: those that are
 * known to hold the prompt, the preferred one, and some drawn at random. Immutable, but for the
 * loads; safe for use by several threads.
 */
public final class BackendGroup {

  /** No backend server. */
  public static final BackendGroup EMPTY = BackendGroup.of(List.of());

  /** The largest group that is weighed as a whole; larger ones would cost too much a request. */
  static final int WHOLE = 48;

  /** The members drawn at random: the best of them is among the least loaded tenth in 92 %. */
  static final int DRAWN = 24;

  /** The holders of a prompt that are weighed, the latest first. */
  static final int HOLDERS = 8;

  /** The points of the ring that are tried for a preferred member. */
  private static final int TRIED_POINTS = 64;

  private final List<Member> members;
  private final Map<EngineId, Integer> places = new HashMap<>();
  private final HashRing ring;

  /**
   * Joins a backend server and its load.
   *
   * @param backend the backend server
   * @param load its load
   */
  public record Member(Backend backend, BackendLoad load) {}

  private BackendGroup(List<Member> members) {
    this.members = List.copyOf(members);
    for (int i = 0; i < members.size(); i++) {
      places.put(members.get(i).backend().id(), i);
    }
    List<String> names = members.stream().map(m -> m.backend().id().value()).toList();
    int[] slots = members.stream().mapToInt(m -> Math.max(1, m.backend().slots())).toArray();
    ring = new HashRing(names, slots);
  }

  /** Creates a group. */
  public static BackendGroup of(List<Member> members) {
    return new BackendGroup(members);
  }

  /**
   * Returns the backend servers to weigh for a request.
   *
   * @param coldPerSecond the requests that this instance may send to a cold one in a second
   * @param usable whether the request may go to a backend server
   * @param size the size of the request
   * @param holders the engines that hold the shared part of its prompt, the best first
   */
  public Candidates candidates(
      long nowNanos,
      double coldPerSecond,
      Predicate<EngineId> usable,
      RequestSize size,
      List<EngineId> holders,
      RandomGenerator random) {
    if (members.isEmpty()) {
      return Candidates.NONE;
    }
    Predicate<Member> open =
        m -> usable.test(m.backend().id()) && m.load().acceptsWork(nowNanos, coldPerSecond);
    int preferred =
        size.sharedPart()
            .map(p -> ring.find(p.id(), TRIED_POINTS, i -> open.test(members.get(i))))
            .orElse(-1);
    List<BackendOption> options = List.of();
    if (members.size() > WHOLE) {
      options = options(open, drawn(preferred, holders, random));
    }
    if (options.isEmpty()) {
      options = options(open, members);
    }
    return new Candidates(
        options,
        preferred < 0 ? Optional.empty() : Optional.of(members.get(preferred).backend().id()));
  }

  private List<Member> drawn(int preferred, List<EngineId> holders, RandomGenerator random) {
    Set<Integer> chosen = new LinkedHashSet<>();
    if (preferred >= 0) {
      chosen.add(preferred);
    }
    holders.stream().limit(HOLDERS).map(places::get).filter(i -> i != null).forEach(chosen::add);
    for (int i = 0; i < DRAWN; i++) {
      chosen.add(random.nextInt(members.size()));
    }
    return chosen.stream().map(members::get).toList();
  }

  private static List<BackendOption> options(Predicate<Member> open, List<Member> from) {
    List<BackendOption> options = new ArrayList<>(from.size());
    for (Member m : from) {
      if (open.test(m)) {
        options.add(new BackendOption(m.backend(), m.load(), Optional.empty()));
      }
    }
    return options;
  }
}
