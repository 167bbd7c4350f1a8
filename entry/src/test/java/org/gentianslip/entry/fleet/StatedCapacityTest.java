package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.gentianslip.core.fleet.PeerRecord;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against messages that processes of other versions can't read. */
@DisplayName("The capacity that a peer states")
class StatedCapacityTest {

  @Test
  void isItsSizeInMessagesOfEarlierVersions() throws Exception {
    PeerRecord peer = StatedRecord.read(",36,true,false");
    assertThat(peer.capacity(), is(36));
    assertThat(peer.size(), is(36));
  }

  @Test
  void isReadBesideItsSizeAndFieldsOfLaterVersions() throws Exception {
    PeerRecord peer = StatedRecord.read(",9,true,false,36,\"later\"");
    assertThat(peer.capacity(), is(9));
    assertThat(peer.size(), is(36));
  }

  @Test
  void isTheSameAfterWritingAndReading() throws Exception {
    PeerRecord peer = StatedRecord.read(",9,true,false,36");
    assertThat(StatedRecord.reread(peer), is(peer));
  }
}
