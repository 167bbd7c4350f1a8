package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.junit.jupiter.api.Test;

class EngineSharersTest {

  private static final int SLOTS = 16;

  private static List<InstanceId> instances(int count) {
    List<InstanceId> instances = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      instances.add(InstanceId.of("entry-" + i));
    }
    return instances;
  }

  private static List<EngineId> engines(int count) {
    List<EngineId> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      engines.add(EngineId.of("engine-" + i));
    }
    return engines;
  }

  @Property(seed = "6", tries = 100)
  void dividesTheSlotsAmongTheSharers(
      @ForAll @IntRange(min = 1, max = 60) int count,
      @ForAll @IntRange(min = 1, max = 10) int maxSharers,
      @ForAll @IntRange(min = 0, max = 999) int engine) {
    List<InstanceId> all = instances(count);
    int slots = 0;
    for (InstanceId self : all) {
      Optional<EngineShare> share =
          EngineSubsetting.shareOf(self, all, EngineId.of("engine-" + engine), maxSharers);
      slots += share.map(s -> s.portionOf(SLOTS)).orElse(0);
    }
    assertThat(slots, is(SLOTS));
  }

  @Test
  void spreadsTheEnginesOfLargeRegions() {
    List<InstanceId> all = instances(250);
    for (InstanceId self : all.subList(0, 20)) {
      int used = EngineSubsetting.enginesOf(self, all, engines(1300), 8).size();
      assertThat(used, is(both(greaterThan(15)).and(lessThan(75))));
    }
  }

  @Test
  void keepsTheEnginesOfInstancesThatStay() {
    List<InstanceId> all = instances(50);
    List<InstanceId> fewer = all.subList(0, 49);
    List<EngineId> engines = engines(200);
    for (InstanceId self : fewer) {
      var before = EngineSubsetting.enginesOf(self, all, engines, 8);
      assertThat(EngineSubsetting.enginesOf(self, fewer, engines, 8).containsAll(before), is(true));
    }
  }
}
