package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.id.ServiceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against work for instances that state that they can't serve it. */
@DisplayName("The services that an instance states as unreached")
class StatedReachTest {

  private static final String FIELDS = ",36,true,false,36";

  @Test
  void areTheSameAfterWritingAndReading() throws Exception {
    PeerRecord peer = StatedRecord.read(FIELDS + ",[\"desk\",\"farm\"]");
    assertThat(peer.unreached(), is(Set.of(ServiceId.of("desk"), ServiceId.of("farm"))));
    assertThat(StatedRecord.reread(peer), is(peer));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", ",null", ",7", ",{}", ",[\"\"]", ",[[]]"})
  void areNoneIfNothingReadableIsStated(String rest) throws Exception {
    assertThat(StatedRecord.read(FIELDS + rest).unreached(), is(empty()));
  }
}
