package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.gentianslip.core.fleet.DataCentreSummary;
import org.gentianslip.core.fleet.ServiceWait;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.entry.http.Json;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A wait that a peer states")
class StatedWaitTest {

  private static final ServiceId DESK = ServiceId.of("desk");

  private static ServiceWait read(String summary) throws JsonProcessingException {
    return Json.parse(summary.getBytes(StandardCharsets.UTF_8), FleetMessage.Summary.class)
        .toSummary()
        .waits()
        .get(DESK);
  }

  @Test
  void isReadAsItWasWritten() throws Exception {
    var summary =
        new DataCentreSummary(
            DataCentreId.of("z"),
            RegionId.of("south"),
            3,
            Map.of(DESK, new ServiceWait(17, 168)),
            Map.of());
    byte[] bytes = Json.bytes(FleetMessage.Summary.of(summary));
    assertThat(Json.parse(bytes, FleetMessage.Summary.class).toSummary(), is(summary));
  }

  @Test
  void withoutFailuresIsOfAnEarlierVersion() throws Exception {
    assertThat(read("[\"z\",\"south\",3,{\"desk\":17}]"), is(new ServiceWait(17, 0)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"-1", "1e999", "-1e999", "\"NaN\"", "60001", "99999999999999", "null"})
  void isUnknownIfItCannotBe(String stated) throws Exception {
    String wait = "[\"z\",\"south\",3,{\"desk\":%s},{\"desk\":0}]".formatted(stated);
    assertThat(read(wait), is(ServiceWait.UNKNOWN));
  }

  @ParameterizedTest
  @ValueSource(strings = {"-1", "1e999", "\"NaN\"", "60001", "null", "{}"})
  void isKeptIfItsFailuresCannotBe(String stated) throws Exception {
    String wait = "[\"z\",\"south\",3,{\"desk\":17},{\"desk\":%s}]".formatted(stated);
    assertThat(read(wait), is(new ServiceWait(17, 0)));
  }
}
