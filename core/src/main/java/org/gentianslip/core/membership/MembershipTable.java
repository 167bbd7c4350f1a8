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
 * Holds what one instance believes of the others.
 *
 * <p>Sources are the published list, which lags; the instance's own exchanges; and hints of peers.
 * Only an answer from an instance's own address changes the life that is believed there, since
 * incarnations have no order. A peer's doubt counts only against an instance that gave no sign of
 * life lately, so a cut between two others silences neither here. A belief that is older than the
 * last pause of this process counts as silence until it is confirmed. Everything here is a hint: no
 * promise rests on it. Immutable; each change gives a new table. Safe for use by several threads.
 */
public final class MembershipTable {

  private final InstanceInfo self;
  private final MembershipTimeouts times;
  private final Map<InstanceId, Member> members;
  private final Reading reading;

  /** Tells when the list was last read and which, and when the last pause ended. */
  private record Reading(long version, long readNanos, Optional<Long> pauseEndNanos) {

    boolean isBeforePause(long nanos) {
      return pauseEndNanos.isPresent() && nanos - pauseEndNanos.get() < 0;
    }
  }

  private MembershipTable(
      InstanceInfo self,
      MembershipTimeouts times,
      Map<InstanceId, Member> members,
      Reading reading) {
    this.self = self;
    this.times = times;
    this.members = Map.copyOf(members);
    this.reading = reading;
  }

  /**
   * Returns the table of an instance that knows no other.
   *
   * @param self the instance; the table never holds it
   * @param times the times after which beliefs end
   */
  public static MembershipTable of(InstanceInfo self, MembershipTimeouts times) {
    Reading nothing = new Reading(0, 0, Optional.empty());
    return new MembershipTable(
        Objects.requireNonNull(self), Objects.requireNonNull(times), Map.of(), nothing);
  }

  /** Returns the version of the last list taken, or 0. */
  public long listVersion() {
    return reading.version();
  }

  /** Returns what is believed of an instance, if it was listed or heard of. */
  public Optional<Member> member(InstanceId id) {
    return Optional.ofNullable(members.get(id));
  }

  /** Returns all beliefs, in no order. */
  public Collection<Member> members() {
    return members.values();
  }

  /**
   * Returns the state of an instance.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
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
   * Returns whether a request may be passed to an instance: it gives signs of life and answered the
   * last exchange that this instance began.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param id the instance
   */
  public boolean isReachable(long nowNanos, InstanceId id) {
    InstanceState state = stateOf(nowNanos, id);
    boolean present = state == InstanceState.LIVE || state == InstanceState.LEAVING;
    return present && members.get(id).reachable();
  }

  /**
   * Takes a published list; the elements of one that is not newer than the last change nothing.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param version the version of the list
   * @param list its elements
   */
  public MembershipTable withList(long nowNanos, long version, List<ListedInstance> list) {
    if (version < reading.version()) {
      return this;
    }
    Reading next = new Reading(version, nowNanos, reading.pauseEndNanos());
    if (version == reading.version()) {
      return new MembershipTable(self, times, members, next);
    }
    Map<InstanceId, Member> merged = new HashMap<>();
    members.forEach((id, m) -> merged.put(id, m.withListing(m.info(), Listing.ABSENT)));
    for (ListedInstance l : list) {
      merged.merge(
          l.info().id(),
          Member.unheard(nowNanos, l.info(), l.listing()),
          (known, fresh) -> known.withListing(l.info(), l.listing()));
    }
    merged.remove(self.id());
    merged.values().removeIf(m -> isForgettable(nowNanos, m));
    return new MembershipTable(self, times, merged, next);
  }

  /**
   * Takes an answer that an instance gave at its own address.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param answer what it said of itself
   */
  public MembershipTable withAnswer(long nowNanos, Heartbeat answer) {
    return withHeartbeat(nowNanos, answer, true);
  }

  /**
   * Takes a call from an instance; a call of another life than the believed one changes nothing.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param call what the caller said of itself
   */
  public MembershipTable withCall(long nowNanos, Heartbeat call) {
    Member known = members.get(call.info().id());
    if (known != null && known.life().isPresent() && !known.isIn(call.incarnation())) {
      return this;
    }
    return withHeartbeat(nowNanos, call, false);
  }

  /**
   * Takes a peer's hints; one about an unknown instance or another life changes nothing.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
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
   * Takes that an instance did not answer this one, also not on a new connection.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param id the instance
   */
  public MembershipTable withoutAnswer(long nowNanos, InstanceId id) {
    Member known = members.get(id);
    return known == null ? this : with(known.withoutAnswer(nowNanos));
  }

  /**
   * Makes all beliefs count as silence until they are confirmed.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @see PauseDetector
   */
  public MembershipTable withPause(long nowNanos) {
    Reading next = new Reading(reading.version(), reading.readNanos(), Optional.of(nowNanos));
    return new MembershipTable(self, times, members, next);
  }

  /**
   * Returns the hints that this table gives to a peer: the latest news of leaving and doubted lives
   * first, then the lives that were heard of last.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param limit the greatest number of hints
   */
  public List<Hint> hints(long nowNanos, int limit) {
    return members.values().stream()
        .filter(m -> m.life().isPresent())
        .sorted(Comparator.comparingLong(m -> urgency(nowNanos, m)))
        .limit(limit)
        .map(m -> hintOf(m, m.life().get()))
        .toList();
  }

  /** Returns the age of what a hint about a member would tell; lives that serve come after news. */
  private long urgency(long nowNanos, Member m) {
    long newsAge = nowNanos - m.newsNanos();
    boolean isNews = kindOf(m) != Hint.Kind.HEARD && newsAge < 2 * times.silentAfterNanos();
    return isNews ? newsAge : 2 * times.silentAfterNanos() + nowNanos - m.evidenceNanos();
  }

  private static Hint.Kind kindOf(Member m) {
    if (m.life().get().leaving()) {
      return Hint.Kind.LEAVING;
    }
    return m.life().get().isDoubted() ? Hint.Kind.SILENT : Hint.Kind.HEARD;
  }

  private static Hint hintOf(Member m, IncarnationState l) {
    return new Hint(m.info().id(), l.incarnation(), l.beat(), kindOf(m));
  }

  private MembershipTable withHeartbeat(long nowNanos, Heartbeat h, boolean answered) {
    Member known = members.get(h.info().id());
    Member before = known == null ? Member.unheard(nowNanos, h.info(), Listing.ABSENT) : known;
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
    long age = nowNanos - m.evidenceNanos();
    if (m.isDoubted() && age > times.doubtAfterNanos()) {
      return true;
    }
    boolean heardBeforePause = reading.isBeforePause(m.evidenceNanos());
    if (m.info().region().equals(self.region())) {
      return heardBeforePause || age > times.silentAfterNanos();
    }
    boolean listed = m.listing() != Listing.ABSENT;
    boolean listBeforePause = reading.isBeforePause(reading.readNanos());
    return heardBeforePause && (!listed || listBeforePause);
  }

  private boolean isForgettable(long nowNanos, Member m) {
    return m.listing() == Listing.ABSENT && nowNanos - m.evidenceNanos() > times.goneAfterNanos();
  }
}
