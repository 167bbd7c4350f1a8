package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.gentianslip.core.fleet.WireVersion;
import org.gentianslip.entry.http.Json;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against messages of earlier builds of which this build loses a field. */
@DisplayName("A message that an earlier build has sent")
class RecordedMessagesTest {

  /** The configuration and two backend servers. */
  private static final int ITEMS = 3;

  private static byte[] read(String commit, String name) throws Exception {
    String path = "/wire/" + commit + "/" + name;
    try (InputStream in = RecordedMessagesTest.class.getResourceAsStream(path)) {
      return in.readAllBytes();
    }
  }

  /** Returns the places at which a message that was read and written again lacks something. */
  private static List<String> lost(String place, JsonNode sent, JsonNode written) {
    List<String> places = new ArrayList<>();
    if (sent.isObject()) {
      for (Iterator<Map.Entry<String, JsonNode>> i = sent.fields(); i.hasNext(); ) {
        Map.Entry<String, JsonNode> field = i.next();
        String name = place + "/" + field.getKey();
        places.addAll(lost(name, field.getValue(), written.path(field.getKey())));
      }
    } else if (sent.isArray()) {
      for (int i = 0; i < sent.size(); i++) {
        places.addAll(lost(place + "/" + i, sent.get(i), written.path(i)));
      }
    } else if (sent.isValueNode() && !sent.isNull() && !sent.equals(written)) {
      places.add(place);
    }
    return places;
  }

  @ParameterizedTest
  @CsvSource({
    "1a79125,introduction.json,1",
    "1a79125,sync.json,1",
    "1a79125,response.json,1",
    "12acdcd,introduction.json,1",
    "12acdcd,sync.json,1",
    "12acdcd,response.json,1",
    "89567a6,introduction.json,2",
    "89567a6,sync.json,2",
    "89567a6,response.json,2"
  })
  void isReadWithAllItsFields(String commit, String name, int wire) throws Exception {
    byte[] sent = read(commit, name);
    FleetMessage message = Json.parse(sent, FleetMessage.class);
    assertThat(message.toSync().self().wire(), is(new WireVersion(wire)));
    assertThat(lost("", Json.parse(sent), Json.parse(Json.bytes(message))), is(empty()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"1a79125", "12acdcd", "89567a6"})
  void holdsTheWholePublishedState(String commit) throws Exception {
    byte[] sent = read(commit, "published.json");
    PublishedCopy copy = Json.parse(sent, PublishedCopy.class);
    assertThat(copy.toSnapshot().items().size(), is(ITEMS));
    assertThat(lost("", Json.parse(sent), Json.parse(Json.bytes(copy))), is(empty()));
  }
}
