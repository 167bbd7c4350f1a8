package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are written though no time is left or the caller has left. */
@DisplayName("The client of backend servers, if a request may not be written any more")
class WriteCheckTest {

  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

  @RegisterExtension private final ClientFixture fixture = new ClientFixture();

  private final List<Integer> answered = new CopyOnWriteArrayList<>();

  @BeforeEach
  void answer() {
    fixture
        .server()
        .setScript(
            (place, socket) -> {
              answered.add(place);
              socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.ISO_8859_1));
            });
  }

  @ParameterizedTest(name = "on a new connection: {0}")
  @ValueSource(booleans = {true, false})
  void writesNothingAndKeepsTheConnection(boolean fresh) throws Exception {
    ReceivedAnswer refused =
        fixture.send(HttpMethod.GET, "a1", fresh, new byte[0], (now, headers) -> false);
    assertThat(refused.await(), is(ReceivedAnswer.NOT_WRITTEN));
    assertThat(
        fixture.send(HttpMethod.GET, "a2", false).await(), is(ReceivedAnswer.whole(200, "good")));
    assertThat(answered.size(), is(1));
  }
}
