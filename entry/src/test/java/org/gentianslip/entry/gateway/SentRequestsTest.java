package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The requests sent on a connection")
class SentRequestsTest {

  private final SentRequests sent = new SentRequests();

  @Test
  void containNoRequestAtFirst() {
    assertThat(sent.contains(""), is(false));
    assertThat(sent.contains("a"), is(false));
  }

  @Test
  void containEachOfTheLatestRequests() {
    for (int i = 0; i < 3 * SentRequests.CAPACITY; i++) {
      sent.add("id" + i, false);
    }
    for (int i = 2 * SentRequests.CAPACITY; i < 3 * SentRequests.CAPACITY; i++) {
      assertThat(sent.contains("id" + i), is(true));
    }
    assertThat(sent.contains("id0"), is(false));
  }

  @Test
  void tellIdsWithTheSameCharactersApart() {
    sent.add("ab", false);
    assertThat(sent.contains("ba"), is(false));
    assertThat(sent.contains("a"), is(false));
  }

  @Test
  void tellHeadRequestsFromOthers() {
    for (int i = 0; i < 3 * SentRequests.CAPACITY; i++) {
      sent.add("id" + i, i % 3 == 0);
    }
    for (int i = 2 * SentRequests.CAPACITY; i < 3 * SentRequests.CAPACITY; i++) {
      assertThat(sent.containsHead("id" + i), is(i % 3 == 0));
    }
    assertThat(sent.containsHead("id0"), is(false));
  }
}
