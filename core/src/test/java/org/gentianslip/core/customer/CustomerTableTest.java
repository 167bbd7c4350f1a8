package org.gentianslip.core.customer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gentianslip.core.hash.SipHash;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.route.Repeatability;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.WeightedService;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The table of customers")
class CustomerTableTest {

  private static final CustomerId ALPHA = CustomerId.of("alpha");
  private static final CustomerId BETA = CustomerId.of("beta");

  private final CustomerTable.Builder builder = CustomerTable.builder(new SipHash(1, 2));

  private static Customer customer(CustomerId id, OptionalInt rank, String... regions) {
    return new Customer(id, rank, regions(regions), Optional.empty());
  }

  private static Set<RegionId> regions(String... regions) {
    return Stream.of(regions).map(RegionId::of).collect(Collectors.toSet());
  }

  private static byte[] bytes(String key) {
    return key.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  @DisplayName("hashes keys as the reference implementation of SipHash-2-4 does")
  void hashesAsTheReference() {
    byte[] input = new byte[15];
    for (int i = 0; i < input.length; i++) {
      input[i] = (byte) i;
    }
    var hash = new SipHash(0x0706050403020100L, 0x0f0e0d0c0b0a0908L);
    assertThat(hash.hash(input), is(0xa129ca6149be45e5L));
  }

  @Nested
  @DisplayName("with two customers")
  class WithTwoCustomers {

    private CustomerTable table() {
      builder.add(customer(ALPHA, OptionalInt.empty()));
      builder.add(customer(BETA, OptionalInt.empty()));
      builder.addKey(ALPHA, "key-a1");
      builder.addKey(ALPHA, "key-a2");
      builder.addKey(BETA, "key-b");
      return builder.build();
    }

    private Optional<CustomerId> holder(String key) {
      return table().findByKey(bytes(key)).map(Customer::id);
    }

    @Test
    @DisplayName("finds the holder of each key, not only of the first one")
    void findsTheHolder() {
      assertThat(holder("key-a2"), is(Optional.of(ALPHA)));
      assertThat(holder("key-b"), is(Optional.of(BETA)));
    }

    @Test
    @DisplayName("finds no holder of a prefix, an extension, an empty or an overlong key")
    void findsNoHolderOfOtherKeys() {
      for (String key : List.of("key-a", "key-a11", "", "k".repeat(65_536))) {
        assertThat(holder(key), is(Optional.empty()));
      }
    }

    @Test
    @DisplayName("leaves a key to the customer that held it first")
    void leavesKeysToTheFirstHolder() {
      table();
      assertThat(builder.addKey(BETA, "key-a1"), is(false));
      assertThat(
          builder.build().findByKey(bytes("key-a1")).map(Customer::id), is(Optional.of(ALPHA)));
    }

    @Test
    @DisplayName("shows no key in its text")
    void showsNoKey() {
      assertThat(table() + " " + table().find(ALPHA), not(containsString("key-a1")));
    }
  }

  @Nested
  @DisplayName("restricts a route")
  class Restricting {

    private Route route(String... regions) {
      return new Route(
          "ask",
          "shop.example",
          "/ask/",
          Repeatability.ONCE,
          true,
          3_000,
          1_000,
          1,
          2,
          List.of(new WeightedService(ServiceId.of("farm"), 1)),
          regions(regions));
    }

    private Optional<Set<RegionId>> allowed(Route route, String... customerRegions) {
      return route
          .forCustomer(customer(ALPHA, OptionalInt.empty(), customerRegions))
          .map(Route::allowedRegions);
    }

    @Test
    @DisplayName("to the regions that both allow")
    void toCommonRegions() {
      assertThat(
          allowed(route("north", "south"), "south", "east"), is(Optional.of(regions("south"))));
      assertThat(allowed(route(), "south"), is(Optional.of(regions("south"))));
      assertThat(allowed(route("south")), is(Optional.of(regions("south"))));
    }

    @Test
    @DisplayName("to no region, rather than to all, if they have none in common")
    void toNoRegion() {
      assertThat(allowed(route("north"), "south"), is(Optional.empty()));
    }

    @Test
    @DisplayName("and overrides its rank, also by the most urgent one")
    void overridesTheRank() {
      Route urgent = route().forCustomer(customer(ALPHA, OptionalInt.of(0))).orElseThrow();
      assertThat(urgent.rank(), is(0));
      assertThat(
          route().forCustomer(customer(ALPHA, OptionalInt.empty())).orElseThrow().rank(), is(2));
    }
  }
}
