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

/** Sends bad requests to one instance. All tests share one fleet. */
@DisplayName("A bad request")
class BadInputTest {

  private static final String ENGINE = "pk-central-engine-1";
  private static final String SERVICE = "pk-central-booking-1";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String BOOKING_PATH = "/services/booking/slots/book";
  private static final String JSON_TYPE = "application/json";
  private static final String FORM_TYPE = "application/x-www-form-urlencoded";
  private static final String CUSTOMER_KEY = "qadri-shops-key";
  private static final String KIND = "party-summary";
  private static final String UNKNOWN_MODEL_BODY =
      "{\"model\":\"none\",\"messages\":[{\"content\":\"x\"}]}";
  private static final String VALID_BODY = "{\"model\":\"dispatch-summary\",\"prompt\":\"x\"}";

  private static Fleet fleet;
  private static final OkHttpClient client = HttpClients.unpooled(Duration.ofSeconds(20));

  /** A bad request with the expected status and error code. */
  private enum BadRequest {
    MALFORMED_JSON(CHAT_PATH, CUSTOMER_KEY, KIND, JSON_TYPE, "{\"model\":", 400, "malformed_json"),
    UNKNOWN_MODEL(
        CHAT_PATH, CUSTOMER_KEY, KIND, JSON_TYPE, UNKNOWN_MODEL_BODY, 404, "unknown_model"),
    UNKNOWN_CUSTOMER(CHAT_PATH, "none", KIND, JSON_TYPE, VALID_BODY, 401, "unknown_customer"),
    UNKNOWN_KIND(CHAT_PATH, CUSTOMER_KEY, "none", JSON_TYPE, VALID_BODY, 400, "unknown_kind"),
    UNKNOWN_PATH("/v2/none", CUSTOMER_KEY, KIND, JSON_TYPE, VALID_BODY, 404, "unknown_path"),
    UNKNOWN_SERVICE(
        "/services/none/x", CUSTOMER_KEY, KIND, JSON_TYPE, "{}", 404, "unknown_service"),
    LARGE_BODY(
        CHAT_PATH,
        CUSTOMER_KEY,
        KIND,
        JSON_TYPE,
        "\"" + "x".repeat(3_000_000),
        413,
        "body_too_large"),
    LARGE_HEADER(
        CHAT_PATH, "x".repeat(100_000), KIND, JSON_TYPE, VALID_BODY, 431, "headers_too_large"),
    FORM_TO_SERVICE(BOOKING_PATH, CUSTOMER_KEY, KIND, FORM_TYPE, "slot=1", 415, "unsupported_form"),
    FORM_TO_MODEL(CHAT_PATH, CUSTOMER_KEY, KIND, FORM_TYPE, VALID_BODY, 415, "unsupported_form");

    private final String path;
    private final String key;
    private final String kind;
    private final String type;
    private final String body;
    private final int status;
    private final String code;

    BadRequest(
        String path, String key, String kind, String type, String body, int status, String code) {
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
  void getsTheStableErrorCode(BadRequest badRequest) throws IOException {
    assertThat(send(badRequest).path("code").asText(), equalTo(badRequest.code));
  }

  @ParameterizedTest
  @EnumSource
  void getsTheStatus(BadRequest badRequest) throws IOException {
    assertThat(send(badRequest).path("status").asInt(), is(badRequest.status));
  }

  @ParameterizedTest
  @EnumSource
  void getsCompleteSentenceAsMessage(BadRequest badRequest) throws IOException {
    assertThat(send(badRequest).path("message").asText().endsWith("."), is(true));
  }

  @ParameterizedTest
  @EnumSource
  void reachesNoBackendServer(BadRequest badRequest) throws IOException {
    send(badRequest);

    long seen = fleet.statistics(ENGINE).path("seen").asLong();
    assertThat(seen + fleet.statistics(SERVICE).path("seen").asLong(), is(0L));
  }

  /** Returns the error in the body of the response, with the status of the response added. */
  private static JsonNode send(BadRequest badRequest) throws IOException {
    String address = fleet.entry("pk-central-1").callerAddress();
    Request request =
        new Request.Builder()
            .url("http://" + address + badRequest.path)
            .header("Authorization", "Bearer " + badRequest.key)
            .header("X-Kind", badRequest.kind)
            .post(RequestBody.create(badRequest.body, MediaType.get(badRequest.type)))
            .build();
    try (Response response = client.newCall(request).execute()) {
      var error = JSON.readTree(response.body().bytes()).path("error");
      return error.<ObjectNode>deepCopy().put("status", response.code());
    }
  }
}
