package org.gentianslip.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Test;

class ContactPlanTest {

  private static List<InstanceInfo> fleet(int regions, int perRegion) {
    List<InstanceInfo> all = new ArrayList<>();
    for (int r = 0; r < regions; r++) {
      for (int i = 0; i < perRegion; i++) {
        all.add(MembershipSimulation.infoOf("r" + r, "r" + r + "-" + i));
      }
    }
    return all;
  }

  private static ContactPlan plan(InstanceInfo self) {
    return new ContactPlan(self.id(), self.region(), 8, 4, 2);
  }

  @Test
  void contactsAllInstancesOfSmallRegionsAtEveryTick() {
    List<InstanceInfo> all = fleet(1, 3);
    assertThat(
        plan(all.get(0)).contactsAt(5, all),
        containsInAnyOrder(InstanceId.of("r0-1"), InstanceId.of("r0-2")));
  }

  @Test
  void contactsAllInstancesOfLargeRegionsInOneRound() {
    List<InstanceInfo> all = fleet(1, 73);
    ContactPlan plan = plan(all.get(0));
    Set<InstanceId> contacted = new HashSet<>();
    for (int tick = 0; tick < plan.ticksPerRound(72); tick++) {
      List<InstanceId> contacts = plan.contactsAt(tick, all);
      assertThat(contacts, hasSize(4));
      contacted.addAll(contacts);
    }
    assertThat(contacted, hasSize(72));
  }

  @Test
  void keepsFewContactsBetweenRegions() {
    List<InstanceInfo> all = fleet(15, 20);
    long contacts = 0;
    for (InstanceInfo self : all) {
      contacts +=
          plan(self).contactsAt(3, all).stream()
              .filter(id -> !id.value().startsWith(self.region().value() + "-"))
              .count();
    }
    assertThat(contacts, is(15L * 14 * 2));
  }

  @Test
  void contactsAllInstancesOfAnotherRegionInTurn() {
    List<InstanceInfo> all = fleet(2, 1);
    all.addAll(
        List.of(
            MembershipSimulation.infoOf("r1", "r1-x"), MembershipSimulation.infoOf("r1", "r1-y")));
    Set<InstanceId> contacted = new HashSet<>();
    ContactPlan plan = new ContactPlan(InstanceId.of("r0-0"), RegionId.of("r0"), 8, 4, 2);
    for (int tick = 0; tick < 3; tick++) {
      contacted.addAll(plan.contactsAt(tick, all));
    }
    assertThat(contacted, hasSize(3));
  }
}
