package org.gentianslip.load.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests {@link CachingEntryFinder} in virtual time. */
class CachingEntryFinderTest {

  private static final CustomerId CUSTOMER = CustomerId.of("shoppers");
  private static final KindId KIND = KindId.of("care-question");
  private static final long VALID_MILLIS = 500;

  private final MockWebServer bootstrapEntry = new MockWebServer();
  private CachingEntryFinder finder;

  @BeforeEach
  void start() throws IOException {
    bootstrapEntry.start();
    EntryAddress address =
        new EntryAddress(
            InstanceId.of("e1"), RegionId.of("graz"), "127.0.0.1:" + bootstrapEntry.getPort());
    finder =
        new CachingEntryFinder(HttpClients.forQueries(), BootstrapSource.fixed(List.of(address)));
    bootstrapEntry.enqueue(entryList("first"));
    bootstrapEntry.enqueue(entryList("second"));
  }

  @AfterEach
  void stop() {
    bootstrapEntry.close();
  }

  @Test
  void usesTheCachedListUntilItExpires() throws IOException {
    finder.find(CUSTOMER, KIND, 0);
    finder.find(CUSTOMER, KIND, TimeUnit.MILLISECONDS.toNanos(VALID_MILLIS) - 1);

    assertThat(bootstrapEntry.getRequestCount(), is(1));
  }

  @Test
  void queriesAgainOnceTheListHasExpired() throws IOException {
    finder.find(CUSTOMER, KIND, 0);

    assertThat(firstId(TimeUnit.MILLISECONDS.toNanos(VALID_MILLIS)), equalTo("second"));
  }

  @Test
  void queriesAgainAfterRefusalWithoutEntries() throws IOException {
    finder.find(CUSTOMER, KIND, 0);
    finder.recordRefusal(CUSTOMER, KIND, List.of());

    assertThat(firstId(1), equalTo("second"));
  }

  @Test
  void usesTheEntriesOfTheRefusal() throws IOException {
    finder.find(CUSTOMER, KIND, 0);
    finder.recordRefusal(
        CUSTOMER,
        KIND,
        List.of(new EntryAddress(InstanceId.of("named"), RegionId.of("wien"), "127.0.0.1:1")));

    assertThat(firstId(1), equalTo("named"));
  }

  private String firstId(long nowNanos) throws IOException {
    return finder.find(CUSTOMER, KIND, nowNanos).get(0).id().value();
  }

  private static MockResponse entryList(String id) {
    String entry = "{\"id\": \"" + id + "\", \"region\": \"graz\", \"address\": \"127.0.0.1:1\"}";
    return new MockResponse.Builder()
        .body("{\"entries\": [" + entry + "], \"validMillis\": " + VALID_MILLIS + "}")
        .build();
  }
}
