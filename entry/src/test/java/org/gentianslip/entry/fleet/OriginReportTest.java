package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.fleet.SyncAck;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.stream.OriginBatch;
import org.gentianslip.core.stream.StreamOrigin;
import org.gentianslip.entry.http.Json;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A report of origins")
class OriginReportTest {

  private static final long NOW = TimeUnit.HOURS.toNanos(1);
  private static final StreamOrigin ORIGIN =
      new StreamOrigin(
          "9c41d07be2a35f68", SoftwareVersion.of("4.1"), NOW - TimeUnit.SECONDS.toNanos(3));

  private static List<StreamOrigin> read(String json) throws Exception {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    return Json.parse(bytes, OriginReport.class).read(NOW, "north-1");
  }

  @Test
  void isTheSameAfterWritingAndReading() throws Exception {
    var batch = new OriginBatch(List.of(ORIGIN), 7);
    byte[] bytes = Json.bytes(OriginReport.of(NOW, batch, new SyncAck(2, 5), 1));
    String json = new String(bytes, StandardCharsets.UTF_8);
    assertThat(json, is("[[[\"9c41d07be2a35f68\",\"4.1\",3000]],7,[2,5],1]"));
    assertThat(read(json), is(List.of(ORIGIN)));
  }

  @Test
  void isAbsentIfThereIsNothingToTell() {
    assertThat(OriginReport.of(NOW, new OriginBatch(List.of(), 7), SyncAck.NONE, 0), nullValue());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "null",
        "{}",
        "[]",
        "[\"r\",\"v\"]",
        "[\"\",\"v\",1]",
        "[\"a b\",\"v\",1]",
        "[7,\"v\",1]",
        "[\"r\",\"\",1]",
        "[\"r\",\"a b\",1]",
        "[\"r\",7,1]",
        "[\"r\",\"v\",-1]",
        "[\"r\",\"v\",1.5]",
        "[\"r\",\"v\",99999999999999999999]",
        "[\"r\",\"v\",120001]"
      })
  void leavesOutWhatCannotBe(String stated) throws Exception {
    assertThat(read("[[" + stated + "],7,[2,5],0]"), is(empty()));
    String both = "[[" + stated + ",[\"9c41d07be2a35f68\",\"4.1\",3000]],7,[2,5],0]";
    assertThat(read(both), is(List.of(ORIGIN)));
  }
}
