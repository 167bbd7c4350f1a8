package org.gentianslip.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.testing.SeededProperty;
import org.gentianslip.core.testing.Seeds;
import org.junit.jupiter.api.Test;

class EntryListTest {

  private static final RegionId HOME = RegionId.of("home");
  private static final RegionId FAR = RegionId.of("far");
  private static final int CUSTOMERS = 4000;

  private static EntryCandidate candidate(String region, String id, double busyShare) {
    return new EntryCandidate(
        MembershipSimulation.infoOf(region, id), InstanceState.LIVE, busyShare);
  }

  private static InstanceId firstEntry(int customer, List<EntryCandidate> candidates) {
    CustomerId id = CustomerId.of("c" + customer);
    return EntryList.choose(id, Set.of(HOME), List.of(HOME), candidates).entries().get(0).id();
  }

  private static List<EntryCandidate> fourCandidates(double busyShareOfFirst) {
    List<EntryCandidate> all = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      all.add(candidate("home", "e" + i, i == 0 ? busyShareOfFirst : 0));
    }
    return all;
  }

  private static double shareOfFirst(List<EntryCandidate> candidates) {
    long assigned = 0;
    for (int c = 0; c < CUSTOMERS; c++) {
      assigned += firstEntry(c, candidates).equals(InstanceId.of("e0")) ? 1 : 0;
    }
    return (double) assigned / CUSTOMERS;
  }

  @SeededProperty
  void containsOnlyLiveInstancesOfAllowedRegions(@ForAll(supplier = Seeds.class) long seed) {
    Random random = new Random(seed);
    List<InstanceState> states = List.of(InstanceState.values());
    List<EntryCandidate> all = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      InstanceState state = states.get(random.nextInt(states.size()));
      String region = "r" + random.nextInt(3);
      all.add(
          new EntryCandidate(
              MembershipSimulation.infoOf(region, "e" + i), state, random.nextDouble()));
    }
    RegionId allowed = RegionId.of("r" + random.nextInt(3));
    EntryList list = EntryList.choose(CustomerId.of("c"), Set.of(allowed), List.of(HOME), all);
    List<InstanceId> live =
        all.stream().filter(c -> c.state() == InstanceState.LIVE).map(c -> c.info().id()).toList();
    assertThat(list.entries().stream().map(InstanceInfo::region).toList(), everyItem(is(allowed)));
    assertThat(live.containsAll(list.entries().stream().map(InstanceInfo::id).toList()), is(true));
    assertThat(list.entries().size(), lessThanOrEqualTo(EntryList.MAX_ENTRIES));
  }

  @SeededProperty
  void isTheSameForEveryOrderOfCandidates(@ForAll(supplier = Seeds.class) long seed) {
    List<EntryCandidate> shuffled = fourCandidates(0.5);
    Collections.shuffle(shuffled, new Random(seed));
    assertThat(
        firstEntry((int) (seed % 100), shuffled),
        is(firstEntry((int) (seed % 100), fourCandidates(0.5))));
  }

  @Test
  void prefersTheFirstRegion() {
    List<EntryCandidate> all = List.of(candidate("far", "a", 0), candidate("home", "b", 0.9));
    EntryList list =
        EntryList.choose(CustomerId.of("c"), Set.of(HOME, FAR), List.of(HOME, FAR), all);
    assertThat(list.entries().get(0).region(), is(HOME));
  }

  @Test
  void spreadsCustomersEvenly() {
    assertThat(shareOfFirst(fourCandidates(0)), closeTo(0.25, 0.03));
  }

  @Test
  void movesCustomersAwayFromBusyInstances() {
    assertThat(shareOfFirst(fourCandidates(0.5)), closeTo(0.5 / 3.5, 0.03));
  }

  @Test
  void movesNoCustomerBetweenInstancesThatAreNotBusy() {
    for (int c = 0; c < CUSTOMERS; c++) {
      InstanceId before = firstEntry(c, fourCandidates(0));
      InstanceId after = firstEntry(c, fourCandidates(0.5));
      boolean moved = !before.equals(after);
      assertThat(moved && !before.equals(InstanceId.of("e0")), is(false));
    }
  }
}
