package org.gentianslip.core.customer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.gentianslip.core.hash.SipHash;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.route.CallerLimits;
import org.gentianslip.core.route.RouteTable;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The former keys")
class FormerKeysTest {

  private static final CustomerId ALPHA = CustomerId.of("alpha");

  private final SipHash hash = new SipHash(1, 2);
  private final FormerKeys former = new FormerKeys();
  private Optional<RouteTable> inForce = Optional.empty();

  private void apply(long version, String... keys) {
    CustomerTable.Builder customers = CustomerTable.builder(hash);
    customers.add(new Customer(ALPHA, OptionalInt.empty(), Set.of(), Optional.empty()));
    List.of(keys).forEach(key -> customers.addKey(ALPHA, key));
    var next =
        Optional.of(
            RouteTable.of(
                version,
                List.of(),
                List.of(),
                CallerLimits.DEFAULT,
                Optional.of(customers.build())));
    former.applyChange(inForce, next);
    inForce = next;
  }

  private String describe(String key) {
    return former.describe(key.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  @DisplayName("tell the holder and the last version of a removed key")
  void tellHolder() {
    apply(3, "first", "second");
    apply(7, "first");
    apply(9, "first");
    assertThat(describe("second"), is("alpha last-version=3"));
  }

  @Test
  @DisplayName("tell nothing of keys that never existed, that are held, or that came back")
  void tellNothingOfOthers() {
    apply(3, "first", "second");
    apply(7, "first");
    apply(9, "first", "second");
    assertThat(describe("third"), is("none"));
    assertThat(describe("first"), is("none"));
    assertThat(describe("second"), is("none"));
  }

  @Test
  @DisplayName("are bounded in number, and the oldest are forgotten first")
  void areBounded() {
    apply(1, "oldest");
    for (int i = 0; i <= FormerKeys.MAX_KEYS; i++) {
      apply(2 + i, "key-" + i);
    }
    apply(9_999);
    assertThat(describe("oldest"), is("none"));
    assertThat(describe("key-5"), is("alpha last-version=7"));
  }
}
