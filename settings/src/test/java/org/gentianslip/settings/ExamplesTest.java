package org.gentianslip.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.Optional;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExamplesTest {

  @ParameterizedTest
  @CsvSource({
    "qadri.json, party-summary, URGENT",
    "qadri.json, drop-question, OTHER",
    "venture.json, care-question, URGENT",
    "venture.json, workshop-report, OTHER"
  })
  void giveEachKindItsRank(String file, String kind, Rank rank) throws IOException {
    Settings settings = Documents.accepted(Documents.example(file));
    for (Customer customer : settings.customers()) {
      for (Region region : settings.regions()) {
        EffectiveSettings values = settings.effective(customer.id(), region.id(), KindId.of(kind));
        assertThat(values.get(SettingCatalog.RANK), is(rank));
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "qadri.json, north-archive, pk-north, party-summary",
    "venture.json, tirol-guild, innsbruck, care-question"
  })
  void bindTheResidentCustomer(String file, String customer, String home, String kind)
      throws IOException {
    Settings settings = Documents.accepted(Documents.example(file));
    for (Region region : settings.regions()) {
      EffectiveSettings values =
          settings.effective(CustomerId.of(customer), region.id(), KindId.of(kind));
      assertThat(values.get(SettingCatalog.ALLOWED_REGIONS), contains(RegionId.of(home)));
    }
  }

  @Test
  void findCustomerByTheHashOfItsKey() throws IOException {
    Settings settings = Documents.accepted(Documents.example("qadri.json"));
    String hash = "34ab37f58021b300fe364d0e45c3db3b80576c08b1f79585d4645f48b54fec48";
    assertThat(
        settings.customerByKeyHash(hash).map(Customer::id),
        is(Optional.of(CustomerId.of("lahore-shops"))));
  }

  @ParameterizedTest
  @CsvSource({"qadri.json, booking, /slots/search", "venture.json, orders, /stock/search"})
  void listTheService(String file, String service, String path) throws IOException {
    Settings settings = Documents.accepted(Documents.example(file));
    Service found = settings.service(ServiceId.of(service)).orElseThrow();
    assertThat(found.isIdempotent("POST", path), is(true));
  }
}
