package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.entry.http.Json;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against work for instances that state that they can't serve it. */
@DisplayName("The services that an instance states as unreached")
class StatedReachTest {

  private static final String FIELDS =
      "\"i1\",7,3,\"north\",\"north-a\",\"a:1\",\"a:2\",\"a:3\",36,true,false,36";

  private static PeerRecord read(String array) throws Exception {
    byte[] bytes = array.getBytes(StandardCharsets.UTF_8);
    return Json.parse(bytes, FleetMessage.Instance.class).toRecord();
  }

  @Test
  void areTheSameAfterWritingAndReading() throws Exception {
    PeerRecord peer = read("[" + FIELDS + ",[\"desk\",\"farm\"]]");
    assertThat(peer.unreached(), is(Set.of(ServiceId.of("desk"), ServiceId.of("farm"))));
    byte[] bytes = Json.bytes(FleetMessage.Instance.of(peer));
    assertThat(read(new String(bytes, StandardCharsets.UTF_8)), is(peer));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", ",null", ",7", ",{}", ",[\"\"]", ",[[]]"})
  void areNoneIfNothingReadableIsStated(String rest) throws Exception {
    assertThat(read("[" + FIELDS + rest + "]").unreached(), is(empty()));
  }
}
