package org.gentianslip.demo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.load.call.HttpClients;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Sends bad requests to one instance. The fleet is shared by all tests. */
@DisplayName("A bad request")
class BadInputTest {

  private static final String ENGINE = "pk-central-engine-1";
  private static final String SERVICE = "pk-central-booking-1";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CHAT = "/v1/chat/completions";
  private static final String BOOK = "/services/booking/slots/book";
  private static final String JSON_TYPE = "application/json";
  private static final String FORM_TYPE = "application/x-www-form-urlencoded";
  private static final String KEY = "qadri-shops-key";
  private static final String KIND = "party-summary";
  private static final String UNKNOWN = "{\"model\":\"none\",\"messages\":[{\"content\":\"x\"}]}";
  private static final String GOOD = "{\"model\":\"dispatch-summary\",\"prompt\":\"x\"}";

  private static Fleet fleet;
  private static final OkHttpClient client = HttpClients.unpooled(Duration.ofSeconds(20));

  /** A bad request and the answer that it must get. Immutable. */
  private enum Bad {
    MALFORMED_JSON(CHAT, KEY, KIND, JSON_TYPE, "{\"model\":", 400, "malformed_json"),
    UNKNOWN_MODEL(CHAT, KEY, KIND, JSON_TYPE, UNKNOWN, 404, "unknown_model"),
    UNKNOWN_CUSTOMER(CHAT, "none", KIND, JSON_TYPE, GOOD, 401, "unknown_customer"),
    UNKNOWN_KIND(CHAT, KEY, "none", JSON_TYPE, GOOD, 400, "unknown_kind"),
    UNKNOWN_PATH("/v2/none", KEY, KIND, JSON_TYPE, GOOD, 404, "unknown_path"),
    UNKNOWN_SERVICE("/services/none/x", KEY, KIND, JSON_TYPE, "{}", 404, "unknown_service"),
    LARGE_BODY(CHAT, KEY, KIND, JSON_TYPE, "\"" + "x".repeat(3_000_000), 413, "body_too_large"),
    LARGE_HEADER(CHAT, "x".repeat(100_000), KIND, JSON_TYPE, GOOD, 431, "headers_too_large"),
    FORM_TO_SERVICE(BOOK, KEY, KIND, FORM_TYPE, "slot=1", 415, "unsupported_form"),
    FORM_TO_MODEL(CHAT, KEY, KIND, FORM_TYPE, GOOD, 415, "unsupported_form");

    private final String path;
    private final String key;
    private final String kind;
    private final String type;
    private final String body;
    private final int status;
    private final String code;

    Bad(String path, String key, String kind, String type, String body, int status, String code) {
      this.path = path;
      this.key = key;
      this.kind = kind;
      this.type = type;
      this.body = body;
      this.status = status;
      this.code = code;
    }
  }

  @BeforeAll
  static void start() throws IOException {
    fleet = SmallFleet.start(new EnginePlan(4, 4, 5), RegionPlan.of("pk-central", 1, 1, 1));
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      fleet.close();
    }
  }

  @ParameterizedTest
  @EnumSource
  void getsItsStableCode(Bad bad) throws IOException {
    assertThat(send(bad).path("code").asText(), equalTo(bad.code));
  }

  @ParameterizedTest
  @EnumSource
  void getsItsStatus(Bad bad) throws IOException {
    assertThat(send(bad).path("status").asInt(), is(bad.status));
  }

  @ParameterizedTest
  @EnumSource
  void getsSentence(Bad bad) throws IOException {
    assertThat(send(bad).path("message").asText().endsWith("."), is(true));
  }

  @ParameterizedTest
  @EnumSource
  void reachesNoBackendServer(Bad bad) throws IOException {
    send(bad);

    long seen = fleet.stats(ENGINE).path("seen").asLong();
    assertThat(seen + fleet.stats(SERVICE).path("seen").asLong(), is(0L));
  }

  /** Returns the error of the answer, with the answer's status. */
  private static JsonNode send(Bad bad) throws IOException {
    String address = fleet.entry("pk-central-1").callerAddress();
    Request request =
        new Request.Builder()
            .url("http://" + address + bad.path)
            .header("Authorization", "Bearer " + bad.key)
            .header("X-Kind", bad.kind)
            .post(RequestBody.create(bad.body, MediaType.get(bad.type)))
            .build();
    try (Response response = client.newCall(request).execute()) {
      var error = JSON.readTree(response.body().bytes()).path("error");
      return error.<ObjectNode>deepCopy().put("status", response.code());
    }
  }
}
