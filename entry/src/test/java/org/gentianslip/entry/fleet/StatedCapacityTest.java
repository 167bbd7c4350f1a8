package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.entry.http.Json;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against messages that processes of other versions can't read. */
@DisplayName("The capacity that a peer states")
class StatedCapacityTest {

  private static final String FIELDS = "\"i1\",7,3,\"north\",\"north-a\",\"a:1\",\"a:2\",\"a:3\"";

  private static PeerRecord read(String array) throws Exception {
    byte[] bytes = array.getBytes(StandardCharsets.UTF_8);
    return Json.parse(bytes, FleetMessage.Instance.class).toRecord();
  }

  @Test
  void isItsSizeInMessagesOfEarlierVersions() throws Exception {
    PeerRecord peer = read("[" + FIELDS + ",36,true,false]");
    assertThat(peer.capacity(), is(36));
    assertThat(peer.size(), is(36));
  }

  @Test
  void isReadBesideItsSizeAndFieldsOfLaterVersions() throws Exception {
    PeerRecord peer = read("[" + FIELDS + ",9,true,false,36,\"later\"]");
    assertThat(peer.capacity(), is(9));
    assertThat(peer.size(), is(36));
  }

  @Test
  void isTheSameAfterWritingAndReading() throws Exception {
    PeerRecord peer = read("[" + FIELDS + ",9,true,false,36]");
    byte[] bytes = Json.bytes(FleetMessage.Instance.of(peer));
    assertThat(read(new String(bytes, StandardCharsets.UTF_8)), is(peer));
  }
}
