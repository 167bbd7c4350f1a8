package org.gentianslip.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.gentianslip.core.id.InstanceId;

/**
 * The beliefs of one instance about the other instances.
 *
 * <p>The beliefs are derived from the published list, which lags behind, from this instance's own
 * hellos, and from hints of peers. Only an answer from an instance's own address changes its
 * believed incarnation, since incarnations have no order. A peer's suspicion counts only against an
 * instance that showed no recent sign of life, so a network partition between two other instances
 * makes neither of them silent here. An instance whose last sign of life is older than the last
 * pause of this process counts as silent until a new one arrives. All beliefs are hints, and no
 * guarantee depends on them.
 *
 * <p>Immutable and thread-safe; each change returns a new table.
 */
public final class MembershipTable {

  private final InstanceInfo self;
  private final MembershipTimeouts times;
  private final Map<InstanceId, Member> members;
  private final ListReading reading;

  /**
   * The version of the last list, when it was read, and when the last pause of this process ended.
   */
  private record ListReading(long version, long readNanos, Optional<Long> pauseEndNanos) {

    boolean isBeforeLastPause(long nanos) {
      return pauseEndNanos.isPresent() && nanos - pauseEndNanos.get() < 0;
    }
  }

  private MembershipTable(
      InstanceInfo self,
      MembershipTimeouts times,
      Map<InstanceId, Member> members,
      ListReading reading) {
    this.self = self;
    this.times = times;
    this.members = Map.copyOf(members);
    this.reading = reading;
  }

  /**
   * Returns the table of an instance that knows no other instance.
   *
   * @param self the instance, which the table never contains
   * @param times the times after which beliefs expire
   */
  public static MembershipTable of(InstanceInfo self, MembershipTimeouts times) {
    ListReading nothing = new ListReading(0, 0, Optional.empty());
    return new MembershipTable(
        Objects.requireNonNull(self), Objects.requireNonNull(times), Map.of(), nothing);
  }

  /** Returns the version of the last list that was applied, or 0 if there was none. */
  public long listVersion() {
    return reading.version();
  }

  /** Returns the beliefs about an instance, if it is listed or known from peers. */
  public Optional<Member> member(InstanceId id) {
    return Optional.ofNullable(members.get(id));
  }

  /** Returns all members in no particular order. */
  public Collection<Member> members() {
    return members.values();
  }

  /**
   * Returns the believed state of an instance.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param id the instance
   */
  public InstanceState stateOf(long nowNanos, InstanceId id) {
    Member m = members.get(id);
    if (m == null || isForgettable(nowNanos, m)) {
      return InstanceState.GONE;
    }
    if (isSilent(nowNanos, m)) {
      return InstanceState.SILENT;
    }
    return m.isLeaving() ? InstanceState.LEAVING : InstanceState.LIVE;
  }

  /**
   * Returns whether a request may be forwarded to an instance: it shows signs of life, and it
   * answered the last hello of this instance.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param id the instance
   */
  public boolean isReachable(long nowNanos, InstanceId id) {
    InstanceState state = stateOf(nowNanos, id);
    boolean present = state == InstanceState.LIVE || state == InstanceState.LEAVING;
    return present && members.get(id).reachable();
  }

  /**
   * Applies a published list.
   *
   * <p>The elements of a list that is not newer than the last applied one change nothing.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param version the version of the list
   * @param list its elements
   */
  public MembershipTable withList(long nowNanos, long version, List<ListedInstance> list) {
    if (version < reading.version()) {
      return this;
    }
    ListReading next = new ListReading(version, nowNanos, reading.pauseEndNanos());
    if (version == reading.version()) {
      return new MembershipTable(self, times, members, next);
    }
    Map<InstanceId, Member> merged = new HashMap<>();
    members.forEach((id, m) -> merged.put(id, m.withListing(m.info(), Listing.ABSENT)));
    for (ListedInstance l : list) {
      merged.merge(
          l.info().id(),
          Member.neverSeen(nowNanos, l.info(), l.listing()),
          (known, fresh) -> known.withListing(l.info(), l.listing()));
    }
    merged.remove(self.id());
    merged.values().removeIf(m -> isForgettable(nowNanos, m));
    return new MembershipTable(self, times, merged, next);
  }

  /**
   * Applies an answer that an instance gave at its own address.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param answer the heartbeat in the answer
   */
  public MembershipTable withHelloAnswer(long nowNanos, Heartbeat answer) {
    return withHeartbeat(nowNanos, answer, true);
  }

  /**
   * Applies a hello received from a peer.
   *
   * <p>A hello of another incarnation than the believed one changes nothing.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param call the heartbeat in the hello
   */
  public MembershipTable withHello(long nowNanos, Heartbeat call) {
    Member known = members.get(call.info().id());
    if (known != null
        && known.incarnationState().isPresent()
        && !known.hasIncarnation(call.incarnation())) {
      return this;
    }
    return withHeartbeat(nowNanos, call, false);
  }

  /**
   * Applies a peer's hints.
   *
   * <p>A hint about an unknown instance or another incarnation changes nothing.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param hints the hints
   */
  public MembershipTable withHints(long nowNanos, Collection<Hint> hints) {
    Map<InstanceId, Member> next = new HashMap<>(members);
    for (Hint h : hints) {
      next.computeIfPresent(h.id(), (id, known) -> known.withHint(nowNanos, h));
    }
    return next.equals(members) ? this : new MembershipTable(self, times, next, reading);
  }

  /**
   * Records that an instance did not answer this one, not even on a new connection.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param id the instance
   */
  public MembershipTable withFailedHello(long nowNanos, InstanceId id) {
    Member known = members.get(id);
    return known == null ? this : with(known.withoutAnswer(nowNanos));
  }

  /**
   * Records that this process has paused: all members count as silent until they show a new sign of
   * life.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @see PauseDetector
   */
  public MembershipTable withPause(long nowNanos) {
    ListReading next =
        new ListReading(reading.version(), reading.readNanos(), Optional.of(nowNanos));
    return new MembershipTable(self, times, members, next);
  }

  /**
   * Returns the hints to send to a peer: first the most recent changes to leaving or suspected
   * incarnations, then the incarnations with the most recent signs of life.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param limit the maximum number of hints
   */
  public List<Hint> hints(long nowNanos, int limit) {
    return members.values().stream()
        .filter(m -> m.incarnationState().isPresent())
        .sorted(Comparator.comparingLong(m -> hintPriority(nowNanos, m)))
        .limit(limit)
        .map(m -> hintOf(m, m.incarnationState().get()))
        .toList();
  }

  /**
   * Returns the sort key of a hint about a member: the age of a recent change; for all others, a
   * value greater than that of any recent change.
   */
  private long hintPriority(long nowNanos, Member m) {
    long changeAgeNanos = nowNanos - m.changedNanos();
    boolean isRecentChange =
        kindOf(m) != Hint.Kind.HEARD && changeAgeNanos < 2 * times.silentAfterNanos();
    return isRecentChange
        ? changeAgeNanos
        : 2 * times.silentAfterNanos() + nowNanos - m.lastSignNanos();
  }

  private static Hint.Kind kindOf(Member m) {
    if (m.incarnationState().get().leaving()) {
      return Hint.Kind.LEAVING;
    }
    return m.incarnationState().get().isSuspected() ? Hint.Kind.SILENT : Hint.Kind.HEARD;
  }

  private static Hint hintOf(Member m, IncarnationState life) {
    return new Hint(m.info().id(), life.incarnation(), life.beat(), kindOf(m));
  }

  private MembershipTable withHeartbeat(long nowNanos, Heartbeat h, boolean answered) {
    Member known = members.get(h.info().id());
    Member before = known == null ? Member.neverSeen(nowNanos, h.info(), Listing.ABSENT) : known;
    return with(before.withHeartbeat(nowNanos, h, answered));
  }

  private MembershipTable with(Member member) {
    InstanceId id = member.info().id();
    if (id.equals(self.id()) || member.equals(members.get(id))) {
      return this;
    }
    Map<InstanceId, Member> next = new HashMap<>(members);
    next.put(id, member);
    return new MembershipTable(self, times, next, reading);
  }

  private boolean isSilent(long nowNanos, Member m) {
    long ageNanos = nowNanos - m.lastSignNanos();
    if (m.isSuspected() && ageNanos > times.suspectAfterNanos()) {
      return true;
    }
    boolean seenBeforePause = reading.isBeforeLastPause(m.lastSignNanos());
    if (m.info().region().equals(self.region())) {
      return seenBeforePause || ageNanos > times.silentAfterNanos();
    }
    boolean listed = m.listing() != Listing.ABSENT;
    boolean listReadBeforePause = reading.isBeforeLastPause(reading.readNanos());
    return seenBeforePause && (!listed || listReadBeforePause);
  }

  private boolean isForgettable(long nowNanos, Member m) {
    return m.listing() == Listing.ABSENT && nowNanos - m.lastSignNanos() > times.forgetAfterNanos();
  }
}
