package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.fleet.WireVersion;
import org.gentianslip.entry.http.Json;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against messages of other builds that are not read. */
@DisplayName("The wire version that an instance states")
class StatedWireTest {

  private static final String FIELDS =
      "\"i1\",7,3,\"north\",\"north-a\",\"a:1\",\"a:2\",\"a:3\",36,true,false";

  private static PeerRecord read(String array) throws Exception {
    byte[] bytes = array.getBytes(StandardCharsets.UTF_8);
    return Json.parse(bytes, FleetMessage.Instance.class).toRecord();
  }

  @Test
  void isTheSameAfterWritingAndReading() throws Exception {
    PeerRecord peer = read("[" + FIELDS + ",36,[],4]");
    assertThat(peer.wire(), is(new WireVersion(4)));
    byte[] bytes = Json.bytes(FleetMessage.Instance.of(peer));
    assertThat(read(new String(bytes, StandardCharsets.UTF_8)), is(peer));
  }

  /** The records of earlier builds end sooner. */
  @ParameterizedTest
  @ValueSource(
      strings = {"", ",36", ",36,[]", ",36,[],null", ",36,[],0", ",36,[],\"2\"", ",36,[],{}"})
  void isUnstatedIfNothingReadableIsStated(String rest) throws Exception {
    assertThat(read("[" + FIELDS + rest + "]").wire(), is(WireVersion.UNSTATED));
  }

  @Test
  void isReadBesideFieldsOfLaterBuilds() throws Exception {
    assertThat(read("[" + FIELDS + ",36,[],9,\"new\",[1]]").wire(), is(new WireVersion(9)));
  }
}
