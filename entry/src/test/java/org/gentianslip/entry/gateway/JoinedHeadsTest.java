package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two heads that are read as one. */
@DisplayName("A client whose server stops within a head and writes another answer")
class JoinedHeadsTest {

  private static final String FIRST =
      "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nStamp: s\r\nNote: a b\r\nContent-Length: 4\r\n\r\n";
  private static final String FAILED =
      "HTTP/1.1 500 No\r\nRequest-Id: a1\r\nStamp: t\r\nNote: a b\r\nContent-Length: 4\r\n\r\n";

  @RegisterExtension private final ClientFixture fixture = new ClientFixture();

  /** Lists the places of the cut at which the second request is answered with something else. */
  private List<String> wrongCuts(String cut, String next, Set<String> allowed) throws Exception {
    List<String> wrong = new ArrayList<>();
    for (int i = 1; i < cut.length(); i++) {
      String second = cut.substring(0, i) + next;
      fixture
          .server()
          .setScript(
              (place, socket) -> {
                String text = place == 1 ? FIRST + "good" : second;
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
              });
      fixture.send(HttpMethod.GET, "first", true).await();
      String read = fixture.send(HttpMethod.GET, "a1", false).await();
      if (!allowed.contains(read)) {
        wrong.add("after \"" + cut.substring(0, i) + "\": " + read);
      }
    }
    return wrong;
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        FIRST,
        "HTTP/1.1 102 Processing\r\nNote: a b\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nStamp: s\r\nNote: a b\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nNote: a\r\n b\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.0 200 \r\nNote:\r\n\r\n"
      })
  void readsTheLaterAnswerOrFails(String cut) throws Exception {
    Set<String> allowed = Set.of(ReceivedAnswer.FAILURE, ReceivedAnswer.whole(500, "true"));
    assertThat(wrongCuts(cut, FAILED + "true", allowed), is(empty()));
  }

  @Test
  void failsIfTheLaterAnswerIsToAnEarlierRequest() throws Exception {
    assertThat(wrongCuts(FAILED, FIRST + "good", Set.of(ReceivedAnswer.FAILURE)), is(empty()));
  }

  @Test
  void failsIfTheLaterAnswerCannotBeToldFromTheBodyOfAnother() throws Exception {
    String other = "HTTP/1.1 200 OK\r\nRequest-Id: first\r\n\r\nbody";
    fixture
        .server()
        .setScript(
            (place, socket) -> {
              String text = place == 1 ? FIRST + "good" : other + FAILED + "true";
              socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            });
    fixture.send(HttpMethod.GET, "first", true).await();
    assertThat(fixture.send(HttpMethod.GET, "a1", false).await(), is(ReceivedAnswer.FAILURE));
  }
}
