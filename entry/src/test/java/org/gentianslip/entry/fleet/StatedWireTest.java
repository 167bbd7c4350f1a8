package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.fleet.WireVersion;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against messages of other builds that are not read. */
@DisplayName("The wire version that an instance states")
class StatedWireTest {

  private static final String FIELDS = ",36,true,false";

  @Test
  void isTheSameAfterWritingAndReading() throws Exception {
    PeerRecord peer = StatedRecord.read(FIELDS + ",36,[],4");
    assertThat(peer.wire(), is(new WireVersion(4)));
    assertThat(StatedRecord.reread(peer), is(peer));
  }

  /** The records of earlier builds end sooner. */
  @ParameterizedTest
  @ValueSource(
      strings = {"", ",36", ",36,[]", ",36,[],null", ",36,[],0", ",36,[],\"2\"", ",36,[],{}"})
  void isUnstatedIfNothingReadableIsStated(String rest) throws Exception {
    assertThat(StatedRecord.read(FIELDS + rest).wire(), is(WireVersion.UNSTATED));
  }

  @Test
  void isReadBesideFieldsOfLaterBuilds() throws Exception {
    assertThat(StatedRecord.read(FIELDS + ",36,[],9,\"new\",[1]").wire(), is(new WireVersion(9)));
  }
}
