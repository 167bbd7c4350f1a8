package org.gentianslip.entry.configservice;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.entry.testing.EntryConfigs;
import org.junit.jupiter.api.Test;

class InstanceListUpdaterTest {

  private final FleetState state = new FleetState(EntryConfigs.inGraz("a"), Incarnation.of(1));
  private final List<Long> confirmed = new ArrayList<>();
  private final InstanceListUpdater updater =
      new InstanceListUpdater(state, (list, sentNanos) -> confirmed.add(list.version()));

  @Test
  void confirmsTheListInUse() {
    accept("{\"version\":7}");
    updater.confirmed(0);
    assertThat(confirmed, contains(7L));
  }

  @Test
  void confirmsNothingWhileTheServiceReturnsAnOlderList() {
    accept("{\"version\":7}");
    accept("{\"version\":6}");
    updater.confirmed(0);
    assertThat(confirmed, is(empty()));
    assertThat(state.instanceList().version(), is(7L));
  }

  @Test
  void confirmsNothingWhileTheListCannotBeParsed() {
    accept("{\"version\":7}");
    accept("{");
    updater.confirmed(0);
    assertThat(confirmed, is(empty()));
  }

  private void accept(String list) {
    updater.accept(1, list.getBytes(StandardCharsets.UTF_8));
  }
}
