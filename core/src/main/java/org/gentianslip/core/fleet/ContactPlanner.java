package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;

/**
 * Decides in each round which instances this one contacts.
 *
 * <p>A member contacts the relay of its data centre. The relay contacts the relays of the other
 * data centres of its region, one data centre of some other regions, members that it has not heard,
 * and instances that were lost. An instance whose contacts all fail becomes its own relay, so that
 * it keeps looking for others. {@link #plan} is called by one thread; the other methods are
 * thread-safe.
 */
public final class ContactPlanner {

  /** The interval between rounds, in milliseconds. */
  public static final long ROUND_MILLIS = 250;

  /** The number of members that contact their relay in each round; larger groups take turns. */
  private static final int MEMBERS_PER_ROUND = 16;

  /** The rounds in which a member reports without pause after its relay has changed. */
  private static final int INTRODUCTION_ROUNDS = 8;

  /** The rounds from one exchange with a relay of the own region to the next one begun here. */
  private static final int REGION_ROUNDS = 2;

  /** The rounds from one exchange with other regions to the next. */
  private static final int REMOTE_ROUNDS = 4;

  /** The rounds from one report of a member without load to the next. */
  private static final int IDLE_ROUNDS = 4;

  /**
   * The same, and the rounds from one summary to the next, while customers use their quotas. With 4
   * rounds, floods at 300 instances exceeded the bound of a quota, as sums were known too late.
   */
  private static final int USAGE_ROUNDS = 2;

  /** The other regions contacted at a time. */
  private static final int REMOTE_REGIONS = 4;

  /** The rounds from one attempt to reach lost instances to the next. */
  private static final int LOST_ROUNDS = 4;

  /** The lost instances contacted at a time. */
  private static final int LOST_CONTACTS = 3;

  /** The rounds from one removal of long silent instances to the next. */
  private static final int FORGET_ROUNDS = 20;

  /** The unheard members probed at a time. */
  private static final int PROBES = 8;

  /** How long an instance that did not answer is passed over as relay. */
  private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** How long a member may be unheard before its relay probes it. */
  private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_400);

  /** How long a member may be unheard before its relay states that it is silent. */
  static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_600);

  private final FleetView view;
  private final RandomGenerator random;
  private final Map<InstanceId, Long> suspectedUntil = new ConcurrentHashMap<>();
  private long round;
  private volatile boolean relay;
  private boolean wasBusy;
  private InstanceId lastRelay;
  private long relayChangeRound;
  private long relaySinceNanos;
  private int reportedCapacity;
  private Set<ServiceId> reportedUnreached = Set.of();

  /**
   * Creates a planner for the owner of a view.
   *
   * @param random chooses among lost instances
   */
  public ContactPlanner(FleetView view, RandomGenerator random) {
    this.view = view;
    this.random = random;
  }

  /** Records that an instance did not answer. */
  public void failed(long nowNanos, InstanceId peer) {
    suspectedUntil.put(peer, nowNanos + SUSPICION_NANOS);
  }

  /** Records that an instance answered or sent a message. */
  public void answered(InstanceId peer) {
    suspectedUntil.remove(peer);
  }

  /** Returns whether this instance acted as relay in the last round. */
  public boolean isRelay() {
    return relay;
  }

  private boolean isSuspected(long nowNanos, InstanceId peer) {
    Long until = suspectedUntil.get(peer);
    return until != null && nowNanos - until < 0;
  }

  /**
   * Returns the contacts of this round; must be called every {@link #ROUND_MILLIS}.
   *
   * <p>A relay also publishes the summary of its data centre and states which members are silent.
   *
   * @param self the present record of this instance
   * @param seeds addresses of some instances, possibly outdated
   * @param report what to publish of the data centre if this instance is its relay
   * @param activity how soon this instance has to report as a member
   */
  public List<Contact> plan(
      long nowNanos,
      PeerRecord self,
      List<String> seeds,
      DataCentreReport report,
      Activity activity) {
    round++;
    if (round % FORGET_ROUNDS == 0) {
      view.forgetSilent(nowNanos);
    }
    List<PeerRecord> live = new ArrayList<>(view.live(nowNanos));
    live.add(self);
    List<PeerRecord> members =
        RelayOrder.of(self.dataCentre(), live, id -> isSuspected(nowNanos, id));
    boolean wasRelay = relay;
    relay = members.isEmpty() || members.get(0).id().equals(self.id());
    if (!relay) {
      return reports(self, members, activity)
          ? List.of(Contact.of(members.get(0), LoadScope.INSTANCE))
          : List.of();
    }
    relaySinceNanos = wasRelay ? relaySinceNanos : nowNanos;
    return relayContacts(nowNanos, self, seeds, report, live, members.size());
  }

  /**
   * Returns whether this member reports to its relay in this round; it does at once if its capacity
   * or its reach has changed, so that others soon send it more or less work.
   */
  private boolean reports(PeerRecord self, List<PeerRecord> members, Activity activity) {
    final boolean changed =
        self.capacity() != reportedCapacity || !self.unreached().equals(reportedUnreached);
    reportedCapacity = self.capacity();
    reportedUnreached = self.unreached();
    InstanceId relayId = members.get(0).id();
    if (!relayId.equals(lastRelay)) {
      lastRelay = relayId;
      relayChangeRound = round;
    }
    boolean busy = activity != Activity.IDLE;
    boolean active = busy || wasBusy;
    wasBusy = busy;
    boolean urgent = changed || activity == Activity.URGENT;
    if (urgent || round - relayChangeRound < INTRODUCTION_ROUNDS) {
      return true;
    }
    int interval = turns(members.size()) * (active ? 1 : IDLE_ROUNDS);
    return (round + self.id().value().hashCode()) % interval == 0;
  }

  /** Returns the number of rounds in which each member contacts its relay once. */
  private static int turns(int members) {
    return Math.max(1, (members + MEMBERS_PER_ROUND - 1) / MEMBERS_PER_ROUND);
  }

  private List<Contact> relayContacts(
      long nowNanos,
      PeerRecord self,
      List<String> seeds,
      DataCentreReport report,
      List<PeerRecord> live,
      int members) {
    int remoteRounds = report.usage().isEmpty() ? REMOTE_ROUNDS : USAGE_ROUNDS;
    if (round % remoteRounds == 0) {
      view.summaries().publish(nowNanos, self, report);
    }
    List<Contact> contacts = new ArrayList<>();
    contacts.addAll(probes(nowNanos, self, live, members));
    if (round % REGION_ROUNDS == 0) {
      contacts.addAll(regionRelays(nowNanos, self, live));
    }
    if (round % remoteRounds == 0) {
      contacts.addAll(remoteRelays(nowNanos, self, live, (int) (round / remoteRounds)));
    }
    boolean alone = live.size() == 1;
    if (alone || round % LOST_ROUNDS == 0) {
      contacts.addAll(lost(nowNanos, self, seeds, live));
    }
    return contacts;
  }

  /** Returns members to probe, and states that those unheard for too long are silent. */
  private List<Contact> probes(long nowNanos, PeerRecord self, List<PeerRecord> live, int members) {
    long turnNanos =
        TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS * IDLE_ROUNDS * (turns(members) - 1));
    List<Contact> probes = new ArrayList<>();
    for (PeerRecord p : live) {
      if (!p.dataCentre().equals(self.dataCentre()) || p.id().equals(self.id())) {
        continue;
      }
      long unheardNanos =
          Math.min(view.peers().sinceHeardNanos(nowNanos, p.id()), nowNanos - relaySinceNanos);
      if (unheardNanos >= SILENCE_NANOS + turnNanos) {
        view.peers().declareSilent(nowNanos, p.id());
      } else if (unheardNanos >= PROBE_NANOS + turnNanos && probes.size() < PROBES) {
        probes.add(Contact.of(p, LoadScope.NONE));
      }
    }
    return probes;
  }

  private List<Contact> regionRelays(long nowNanos, PeerRecord self, List<PeerRecord> live) {
    Set<DataCentreId> others = new HashSet<>();
    for (PeerRecord p : live) {
      if (p.region().equals(self.region()) && !p.dataCentre().equals(self.dataCentre())) {
        others.add(p.dataCentre());
      }
    }
    List<Contact> contacts = new ArrayList<>();
    for (DataCentreId dc : others) {
      relayOf(nowNanos, dc, live)
          .ifPresent(r -> contacts.add(Contact.of(r, LoadScope.DATA_CENTRE)));
    }
    return contacts;
  }

  private Optional<PeerRecord> relayOf(long nowNanos, DataCentreId dc, List<PeerRecord> live) {
    return RelayOrder.of(dc, live, id -> isSuspected(nowNanos, id)).stream().findFirst();
  }

  /** Returns the relay of one data centre of each of some other regions, all in turn. */
  private List<Contact> remoteRelays(
      long nowNanos, PeerRecord self, List<PeerRecord> live, int turn) {
    Map<RegionId, List<DataCentreId>> byRegion = new TreeMap<>(byText());
    for (PeerRecord p : live) {
      if (!p.region().equals(self.region())) {
        List<DataCentreId> known = byRegion.computeIfAbsent(p.region(), r -> new ArrayList<>());
        if (!known.contains(p.dataCentre())) {
          known.add(p.dataCentre());
        }
      }
    }
    List<RegionId> regions = List.copyOf(byRegion.keySet());
    List<Contact> contacts = new ArrayList<>();
    for (int i = 0; i < Math.min(REMOTE_REGIONS, regions.size()); i++) {
      int index = Math.floorMod(turn * REMOTE_REGIONS + i, regions.size());
      List<DataCentreId> dataCentres = byRegion.get(regions.get(index));
      dataCentres.sort(Comparator.comparing(DataCentreId::value));
      DataCentreId dc = dataCentres.get(Math.floorMod(turn, dataCentres.size()));
      relayOf(nowNanos, dc, live).ifPresent(r -> contacts.add(Contact.of(r, LoadScope.NONE)));
    }
    return contacts;
  }

  private static Comparator<RegionId> byText() {
    return Comparator.comparing(RegionId::value);
  }

  /** Returns random instances that are not live, from the seeds and from those remembered. */
  private List<Contact> lost(
      long nowNanos, PeerRecord self, List<String> seeds, List<PeerRecord> live) {
    Map<String, Contact> lost = new HashMap<>();
    seeds.forEach(a -> lost.put(a, Contact.ofAddress(a)));
    view.known(nowNanos).forEach(p -> lost.put(p.controlAddress(), Contact.of(p, LoadScope.NONE)));
    live.forEach(p -> lost.remove(p.controlAddress()));
    lost.remove(self.controlAddress());
    List<Contact> shuffled = new ArrayList<>(lost.values());
    shuffled.sort(Comparator.comparing(Contact::controlAddress));
    Collections.shuffle(shuffled, new Random(random.nextLong()));
    return shuffled.subList(0, Math.min(LOST_CONTACTS, shuffled.size()));
  }

  /** Returns whom to tell at once that this instance is leaving: all relays that it knows. */
  public List<Contact> announcement(long nowNanos) {
    List<PeerRecord> live = view.live(nowNanos);
    Set<DataCentreId> dataCentres = new HashSet<>();
    live.forEach(p -> dataCentres.add(p.dataCentre()));
    List<Contact> contacts = new ArrayList<>();
    for (DataCentreId dc : dataCentres) {
      relayOf(nowNanos, dc, live).ifPresent(r -> contacts.add(Contact.of(r, LoadScope.NONE)));
    }
    return contacts;
  }
}
