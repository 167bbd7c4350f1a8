package org.gentianslip.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.customer.CustomerTable;
import org.gentianslip.core.hash.SipHash;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A route table")
class RouteTableTest {

  private static Route route(String name, String prefix) {
    return new Route(
        name,
        "host",
        prefix,
        Repeatability.ONCE,
        false,
        1_000,
        300,
        1,
        0,
        List.of(new WeightedService(ServiceId.of("s"), 1)),
        Set.of());
  }

  private static RouteTable table(Route... routes) {
    return RouteTable.of(3, List.of(routes), List.of(), CallerLimits.DEFAULT);
  }

  private static Optional<String> findName(RouteTable table, String host, String path) {
    return table.find(host, path).map(Route::name);
  }

  @Nested
  @DisplayName("finds a route")
  class Finding {

    private final RouteTable table = table(route("short", "/a/"), route("long", "/a/b/"));

    @Test
    void byTheLongestPrefix() {
      assertThat(findName(table, "host", "/a/b/c"), is(Optional.of("long")));
    }

    @Test
    void byTheShorterPrefixIfTheLongerOneDoesNotMatch() {
      assertThat(findName(table, "host", "/a/bc"), is(Optional.of("short")));
    }

    @Test
    void onlyForItsHost() {
      assertThat(findName(table, "other", "/a/b/c"), is(Optional.empty()));
    }

    @Test
    void notForPathsOutsideAllPrefixes() {
      assertThat(findName(table, "host", "/b/"), is(Optional.empty()));
    }
  }

  @Nested
  @DisplayName("lists what no region may serve together")
  class RegionConflicts {

    private Route route(String name, boolean isPublic, String... regions) {
      return new Route(
          name,
          "host",
          "/" + name + "/",
          Repeatability.ONCE,
          false,
          1_000,
          300,
          1,
          0,
          List.of(new WeightedService(ServiceId.of("s"), 1)),
          regions(regions),
          isPublic);
    }

    private Set<RegionId> regions(String... names) {
      return Stream.of(names).map(RegionId::of).collect(Collectors.toSet());
    }

    private Set<String> conflicts(Route... routes) {
      return tableOf(
              List.of(
                  customer("anywhere"),
                  customer("north-only", "north"),
                  customer("east-only", "east")),
              routes)
          .regionConflicts()
          .stream()
          .map(c -> c.route() + " " + c.customer())
          .collect(Collectors.toSet());
    }

    private RouteTable tableOf(List<Customer> customers, Route... routes) {
      CustomerTable.Builder builder = CustomerTable.builder(new SipHash(1, 2));
      customers.forEach(builder::add);
      return RouteTable.of(
          3, List.of(routes), List.of(), CallerLimits.DEFAULT, Optional.of(builder.build()));
    }

    private Customer customer(String id, String... regions) {
      return new Customer(
          CustomerId.of(id), OptionalInt.empty(), regions(regions), Optional.empty());
    }

    @Test
    void byRouteAndCustomer() {
      assertThat(
          conflicts(route("b", false, "south"), route("a", false, "north", "south")),
          is(Set.of("a east-only", "b east-only", "b north-only")));
    }

    @Test
    void inBoundedNumber() {
      List<Customer> customers =
          IntStream.range(0, 100).mapToObj(i -> customer("c" + i, "north")).toList();
      RouteTable table = tableOf(customers, route("a", false, "south"), route("b", false, "south"));
      assertThat(table.regionConflictCount(), is(200L));
      assertThat(table.regionConflicts().size(), is(64));
    }

    @Test
    void notForRoutesWithoutRegionsOrCustomers() {
      assertThat(conflicts(route("a", false), route("b", true, "south")), is(Set.of()));
      assertThat(table(route("a", false, "south")).regionConflicts(), is(List.of()));
    }
  }

  @Test
  void returnsTheRegionsThatMayReceiveAllRequestsToTheHost() {
    Route restricted =
        new Route(
            "bound",
            "host",
            "/bound/",
            Repeatability.ONCE,
            true,
            1_000,
            300,
            1,
            0,
            List.of(new WeightedService(ServiceId.of("a"), 1)),
            Set.of(RegionId.of("north"), RegionId.of("south")));
    assertThat(
        table(restricted, route("free", "/free/")).regionsAllowedForHost("host"),
        is(Set.of(RegionId.of("north"), RegionId.of("south"))));
    assertThat(table(route("free", "/free/")).regionsAllowedForHost("host"), is(Set.of()));
  }

  @Test
  void splitsRequestsByWeight() {
    var split =
        new Route(
            "split",
            "host",
            "/",
            Repeatability.REPEATABLE,
            false,
            1_000,
            300,
            1,
            0,
            List.of(
                new WeightedService(ServiceId.of("a"), 90),
                new WeightedService(ServiceId.of("b"), 10)),
            Set.of());
    int toB = 0;
    for (int i = 0; i < 1_000; i++) {
      toB += split.serviceFor(i / 1_000.0).value().equals("b") ? 1 : 0;
    }
    assertThat((double) toB, closeTo(100, 1));
  }

  @Test
  void allowsOnlyTheRegionsThatItNames() {
    var restricted =
        new Route(
            "home",
            "host",
            "/",
            Repeatability.ONCE,
            true,
            1_000,
            300,
            1,
            0,
            List.of(new WeightedService(ServiceId.of("a"), 1)),
            Set.of(RegionId.of("north")));
    assertThat(restricted.allows(RegionId.of("north")), is(true));
    assertThat(restricted.allows(RegionId.of("south")), is(false));
  }

  @Test
  void rejectsPrefixesWithoutSlashes() {
    assertThrows(IllegalArgumentException.class, () -> route("bad", "/a"));
  }
}
