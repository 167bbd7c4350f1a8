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

/** Tests {@link AskingEntryFinder} in virtual time. Used by one thread. */
class AskingEntryFinderTest {

  private static final CustomerId CUSTOMER = CustomerId.of("shoppers");
  private static final KindId KIND = KindId.of("care-question");
  private static final long VALID_MILLIS = 500;

  private final MockWebServer contact = new MockWebServer();
  private AskingEntryFinder finder;

  @BeforeEach
  void start() throws IOException {
    contact.start();
    EntryAddress address =
        new EntryAddress(
            InstanceId.of("e1"), RegionId.of("graz"), "127.0.0.1:" + contact.getPort());
    finder = new AskingEntryFinder(HttpClients.asking(), ContactSource.fixed(List.of(address)));
    contact.enqueue(list("first"));
    contact.enqueue(list("second"));
  }

  @AfterEach
  void stop() {
    contact.close();
  }

  @Test
  void keepsTheListForItsLifetime() throws IOException {
    finder.find(CUSTOMER, KIND, 0);
    finder.find(CUSTOMER, KIND, TimeUnit.MILLISECONDS.toNanos(VALID_MILLIS) - 1);

    assertThat(contact.getRequestCount(), is(1));
  }

  @Test
  void asksAgainAfterTheLifetime() throws IOException {
    finder.find(CUSTOMER, KIND, 0);

    assertThat(firstId(TimeUnit.MILLISECONDS.toNanos(VALID_MILLIS)), equalTo("second"));
  }

  @Test
  void asksAgainAfterRefusalThatNamesNoEntry() throws IOException {
    finder.find(CUSTOMER, KIND, 0);
    finder.refused(CUSTOMER, KIND, List.of());

    assertThat(firstId(1), equalTo("second"));
  }

  @Test
  void usesTheEntriesThatRefusalNames() throws IOException {
    finder.find(CUSTOMER, KIND, 0);
    finder.refused(
        CUSTOMER,
        KIND,
        List.of(new EntryAddress(InstanceId.of("named"), RegionId.of("wien"), "127.0.0.1:1")));

    assertThat(firstId(1), equalTo("named"));
  }

  private String firstId(long nowNanos) throws IOException {
    return finder.find(CUSTOMER, KIND, nowNanos).get(0).id().value();
  }

  private static MockResponse list(String id) {
    String entry = "{\"id\": \"" + id + "\", \"region\": \"graz\", \"address\": \"127.0.0.1:1\"}";
    return new MockResponse.Builder()
        .body("{\"entries\": [" + entry + "], \"validMillis\": " + VALID_MILLIS + "}")
        .build();
  }
}
