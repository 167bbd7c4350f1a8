package org.gentianslip.core.published;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The backend servers that have said that they are leaving")
class LeavingIncarnationsTest {

  private static final Backend FIRST_START = backend("i-1", "10.0.0.1:80", 1_000);

  private final LeavingIncarnations leaving = new LeavingIncarnations();

  private static Backend backend(String id, String address, long startedMillis) {
    return new Backend(
        EngineId.of(id),
        ServiceId.of("desk"),
        address,
        DataCentreId.of("north-a"),
        6,
        false,
        0,
        startedMillis);
  }

  @Test
  void containOneStartOfAnId() {
    assertThat(leaving.add(FIRST_START), is(true));
    assertThat(leaving.add(FIRST_START), is(false));
    assertThat(leaving.contains(FIRST_START), is(true));
    assertThat(leaving.contains(backend("i-1", "10.0.0.1:80", 2_000)), is(false));
  }

  @Test
  void doNotContainAnotherServerAtTheAddress() {
    leaving.add(FIRST_START);
    assertThat(leaving.contains(backend("i-2", "10.0.0.1:80", 1_000)), is(false));
  }

  @Test
  void remainWhilePublishedFromAnOlderCopy() {
    leaving.add(FIRST_START);
    leaving.retainPublished(Map.of());
    assertThat(leaving.contains(FIRST_START), is(true));
  }

  @Test
  void endWithTheirEntryIfTheirStartIsUnknown() {
    Backend unknownStart = backend("i-1", "10.0.0.1:80", 0);
    leaving.add(unknownStart);
    leaving.retainPublished(Map.of(unknownStart.id(), unknownStart));
    assertThat(leaving.contains(unknownStart), is(true));
    leaving.retainPublished(Map.of());
    assertThat(leaving.contains(unknownStart), is(false));
  }

  @Test
  void areBounded() {
    for (int i = 0; i <= LeavingIncarnations.MAX_MARKS; i++) {
      leaving.add(backend("i-" + i, "10.0.0.1:80", 1_000));
    }
    assertThat(leaving.contains(backend("i-0", "10.0.0.1:80", 1_000)), is(false));
    assertThat(leaving.contains(FIRST_START), is(true));
  }
}
