package org.gentianslip.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against the use of a server that has ended and left its address to another one. */
@DisplayName("Of the servers that are published with one address")
class ReusedAddressTest {

  private static final Set<ServiceId> SERVICES = Set.of(ServiceId.of("desk"), ServiceId.of("farm"));
  private static final String ADDRESS = "10.0.0.1:80";

  private static Backend server(String id, String service, String address, long startedMillis) {
    return new Backend(
        EngineId.of(id),
        ServiceId.of(service),
        address,
        DataCentreId.of("north-a"),
        6,
        false,
        0,
        startedMillis);
  }

  private static Set<EngineId> former(Backend... servers) {
    return AddressReuse.formerHolders(byId(servers), SERVICES::contains).keySet();
  }

  private static Map<EngineId, Backend> byId(Backend... servers) {
    return Arrays.stream(servers).collect(Collectors.toMap(Backend::id, Function.identity()));
  }

  private static void assertNoneHasLostIt(Backend besideEngine) {
    assertThat(former(server("i-1", "farm", ADDRESS, 100), besideEngine), is(empty()));
  }

  @Test
  void theOneThatStartedLastHasIt() {
    Backend engine = server("i-1", "farm", ADDRESS, 100);
    Backend next = server("i-2", "desk", ADDRESS, 200);
    Backend last = server("i-3", "desk", ADDRESS, 300);
    assertThat(former(last, engine, next), containsInAnyOrder(engine.id(), next.id()));
  }

  @Test
  void noneHasLostItIfTheyStartedAtOneTime() {
    assertNoneHasLostIt(server("i-2", "desk", ADDRESS, 100));
  }

  @Test
  void oneWithoutStartNeitherTakesNorLosesIt() {
    assertNoneHasLostIt(server("i-2", "desk", ADDRESS, 0));
  }

  @Test
  void oneOfNoServiceTakesItFromNobody() {
    assertNoneHasLostIt(server("i-2", "none", ADDRESS, 200));
  }

  @Test
  void oneOfNoServiceProvesNoEndOfAnother() {
    Backend engine = server("i-1", "farm", ADDRESS, 100);
    Backend odd = server("i-2", "none", ADDRESS, 200);
    assertThat(AddressReuse.isTaken(engine, byId(engine, odd), SERVICES::contains), is(false));
    Backend next = server("i-2", "desk", ADDRESS, 200);
    assertThat(AddressReuse.isTaken(engine, byId(engine, next), SERVICES::contains), is(true));
  }

  @Test
  void oneOfNoServiceHidesNoLaterOne() {
    assertThat(
        former(
            server("i-1", "farm", ADDRESS, 100),
            server("i-2", "desk", ADDRESS, 200),
            server("i-3", "none", ADDRESS, 300)),
        contains(EngineId.of("i-1")));
  }

  @Test
  void serversOfOtherAddressesAreNotConcerned() {
    assertNoneHasLostIt(server("i-2", "desk", "10.0.0.1:81", 200));
  }
}
