package org.gentianslip.ctl;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OperatorCommandTest {

  private static final String NORTH_STATUS =
      """
      {"instance": "pk-north-1", "region": "pk-north", "ready": true, "leaving": false,
       "settingsRevision": 7, "listVersion": 3, "inFlight": 2, "queued": 1,
       "rejectedRevision": {"revision": 9, "findings": ["part:/models: A sentence"]},
       "instances": [
         {"id": "pk-north-1", "region": "pk-north", "listed": "live", "heard": false},
         {"id": "pk-south-1", "region": "pk-south", "listed": "live", "heard": true,
          "settingsRevision": 8},
         {"id": "pk-south-2", "region": "pk-south", "listed": "leaving", "heard": false}],
       "engines": [
         {"id": "engine-1", "slots": 8, "inFlight": 2, "running": 5, "waiting": 1,
          "usable": true, "leaving": false},
         {"id": "engine-2", "slots": 8, "inFlight": 0, "running": 0, "waiting": 0,
          "usable": false, "leaving": true}]}
      """;
  private static final String STEPS =
      """
      {"request": "r-1", "instance": "pk-north-1", "steps": [
        {"atMillis": 0, "step": "admitted", "target": "", "reason": "urgent"},
        {"atMillis": 1, "step": "refused", "target": "engine-1", "reason": "full"}]}
      """;

  private final MockWebServer server = new MockWebServer();

  @BeforeEach
  void start() throws IOException {
    server.start(InetAddress.getByName("127.0.0.1"), 0);
  }

  @AfterEach
  void stop() {
    server.close();
  }

  private String address() {
    return "127.0.0.1:" + server.getPort();
  }

  private void enqueueResponse(int status, String body) {
    server.enqueue(new MockResponse.Builder().code(status).body(body).build());
  }

  private static String closedAddress() throws IOException {
    try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static Optional<String> line(CommandRun run, String start) {
    return run.out().lines().filter(l -> l.startsWith(start)).findFirst();
  }

  @Nested
  class Status {

    @Test
    void showsHowFarRevisionIsBehind() {
      enqueueResponse(200, NORTH_STATUS);
      CommandRun run = CommandRun.of("status", "--operator", address());
      assertThat(
          line(run, "pk-north-1").orElse(""),
          matchesPattern("pk-north-1 +pk-north +ready +7 +2 +3 +2 +1"));
    }

    @Test
    void showsListedInstanceThatNoInstanceReports() {
      enqueueResponse(200, NORTH_STATUS);
      CommandRun run = CommandRun.of("status", "--operator", address());
      assertThat(
          line(run, "pk-south-2").orElse(""),
          matchesPattern("pk-south-2 +pk-south +leaving +- +nobody"));
    }

    @Test
    void showsTheVersionThatEachInstanceStates() {
      enqueueResponse(
          200,
          """
          {"instance": "pk-north-1", "wire": 2, "instances": [
            {"id": "pk-south-1", "region": "pk-south", "listed": "live", "heard": true, "wire": 1},
            {"id": "pk-south-2", "region": "pk-south", "listed": "live", "heard": true}]}
          """);
      CommandRun run = CommandRun.of("status", "--operator", address());
      assertThat(run.out(), containsString("INSTANCE    WIRE"));
      assertThat(run.out(), containsString("pk-north-1  2"));
      assertThat(run.out(), containsString("pk-south-1  1"));
    }

    @Test
    void showsCustomersThatNoRegionMayServe() {
      enqueueResponse(
          200,
          """
          {"instance": "pk-north-1", "regionConflicts": [
            {"route": "charge", "routeRegions": "north,south", "customer": "shops",
             "customerRegions": "east"}]}
          """);
      CommandRun run = CommandRun.of("status", "--operator", address());
      assertThat(
          line(run, "charge").orElse(""), matchesPattern("charge +north,south +shops +east"));
    }

    @Test
    void aggregatesEnginesOverInstances() {
      enqueueResponse(200, NORTH_STATUS);
      enqueueResponse(
          200,
          NORTH_STATUS.replace("\"instance\": \"pk-north-1\"", "\"instance\": \"pk-north-2\""));
      CommandRun run = CommandRun.of("status", "--operator", address(), "--operator", address());
      assertThat(
          line(run, "engine-1").orElse(""),
          matchesPattern("engine-1 +pk-north +8 +4 +5 +1 +2 of 2 +live"));
    }

    @Test
    void showsLeavingEngine() {
      enqueueResponse(200, NORTH_STATUS);
      CommandRun run = CommandRun.of("status", "--operator", address());
      assertThat(line(run, "engine-2").orElse(""), matchesPattern("engine-2.*leaving"));
    }

    @Test
    void showsFindingsOfRejectedRevision() {
      enqueueResponse(200, NORTH_STATUS);
      CommandRun run = CommandRun.of("status", "--operator", address());
      assertThat(
          run.out(),
          allOf(containsString("Revision 9 was rejected"), containsString("part:/models")));
    }

    @Test
    void showsEqualFindingsOfSeveralInstancesOnce() {
      enqueueResponse(200, NORTH_STATUS);
      enqueueResponse(
          200,
          NORTH_STATUS.replace("\"instance\": \"pk-north-1\"", "\"instance\": \"pk-north-2\""));
      CommandRun run = CommandRun.of("status", "--operator", address(), "--operator", address());
      assertThat(run.out(), containsString("Revision 9 was rejected by pk-north-1, pk-north-2:"));
    }

    @Test
    void hidesRejectedRevisionOlderThanTheOneInForce() {
      enqueueResponse(
          200, NORTH_STATUS.replace("\"settingsRevision\": 7", "\"settingsRevision\": 10"));
      CommandRun run = CommandRun.of("status", "--operator", address());
      assertThat(run.out(), not(containsString("rejected")));
    }

    @Test
    void fitsOneHundredColumns() {
      enqueueResponse(200, NORTH_STATUS);
      CommandRun run = CommandRun.of("status", "--operator", address());
      assertThat(run.out().lines().map(String::length).toList(), everyItem(lessThanOrEqualTo(100)));
    }

    @Test
    void sendsOperatorKey() throws InterruptedException {
      enqueueResponse(200, NORTH_STATUS);
      CommandRun.of("status", "--operator", address(), "--operator-key", "k");
      assertThat(server.takeRequest().getHeaders().get("X-Operator-Key"), is("k"));
    }

    @Test
    void showsOtherInstancesIfOneCannotBeReached() throws IOException {
      enqueueResponse(200, NORTH_STATUS);
      CommandRun run =
          CommandRun.of("status", "--operator", closedAddress(), "--operator", address());
      assertThat(line(run, "pk-north-1").isPresent(), is(true));
    }

    @Test
    void namesInstanceThatCannotBeReached() throws IOException {
      String closed = closedAddress();
      CommandRun run = CommandRun.of("status", "--operator", closed);
      assertThat(run.err(), containsString("The instance at " + closed + " cannot be reached"));
    }

    @Test
    void failsIfAnInstanceCannotBeReached() throws IOException {
      assertThat(CommandRun.of("status", "--operator", closedAddress()).exitCode(), is(1));
    }

    @Test
    void printsErrorMessageOfInstance() {
      enqueueResponse(
          403, "{\"error\": {\"code\": \"forbidden\", \"message\": \"The key is wrong.\"}}");
      CommandRun run = CommandRun.of("status", "--operator", address());
      assertThat(run.err(), containsString("answered 403: The key is wrong. Give the key"));
    }

    @Test
    void failsOnResponseThatIsNotJson() {
      enqueueResponse(200, "<html>");
      assertThat(CommandRun.of("status", "--operator", address()).exitCode(), is(1));
    }

    @Test
    void printsJson() throws IOException {
      enqueueResponse(200, NORTH_STATUS);
      CommandRun run = CommandRun.of("status", "--json", "--operator", address());
      assertThat(
          new ObjectMapper().readTree(run.out()).at("/instances/0"),
          is(new ObjectMapper().readTree(NORTH_STATUS)));
    }

    @Test
    void rejectsHostName() {
      assertThat(CommandRun.of("status", "--operator", "localhost:1").exitCode(), is(2));
    }
  }

  @Nested
  class Explain {

    @Test
    void showsStepsOfInstanceThatHasTheRequest() {
      enqueueResponse(404, "{\"error\": {\"message\": \"Nothing is known.\"}}");
      enqueueResponse(200, STEPS);
      CommandRun run =
          CommandRun.of("explain", "r-1", "--operator", address(), "--operator", address());
      assertThat(run.out(), matchesPattern("(?s).*pk-north-1 +1 +refused +engine-1 +full.*"));
    }

    @Test
    void showsInstanceWithLongestTraceFirst() {
      enqueueResponse(200, STEPS);
      enqueueResponse(
          200, STEPS.replace("pk-north-1", "origin").replace("\"atMillis\": 1", "\"atMillis\": 9"));
      CommandRun run =
          CommandRun.of("explain", "r-1", "--operator", address(), "--operator", address());
      assertThat(run.out(), matchesPattern("(?s).*origin.*pk-north-1.*"));
    }

    @Test
    void failsIfNoInstanceHasTheRequest() {
      enqueueResponse(404, "{\"error\": {\"message\": \"Nothing is known.\"}}");
      CommandRun run = CommandRun.of("explain", "r-1", "--operator", address());
      assertThat(
          run, is(new CommandRun(1, "", "No instance has a record of the request \"r-1\".\n")));
    }

    @Test
    void reportsIfInstanceCouldNotBeReached() throws IOException {
      CommandRun run = CommandRun.of("explain", "r-1", "--operator", closedAddress());
      assertThat(run.err(), containsString("No instance that could be reached has a record"));
    }
  }

  @Nested
  class InForce {

    private static final String VALUES =
        """
        {"revision": 7, "values": {
          "charge/timeoutMillis": {"value": 2000, "origin": "published version 7"}}}
        """;

    @Test
    void showsValueAndOrigin() {
      enqueueResponse(200, VALUES);
      CommandRun run = CommandRun.of("in-force", "--operator", address(), "--kind", "charge");
      assertThat(
          line(run, "charge/timeoutMillis").orElse(""),
          matchesPattern("charge/timeoutMillis +2000 +published version 7"));
    }

    @Test
    void sendsOnlyGivenQueryParameters() throws Exception {
      enqueueResponse(200, VALUES);
      CommandRun.of("in-force", "--operator", address(), "--kind", "charge");
      assertThat(server.takeRequest().getRequestLine(), is("GET /settings?kind=charge HTTP/1.1"));
    }

    @Test
    void failsIfAnInstanceCannotBeReached() throws IOException {
      assertThat(CommandRun.of("in-force", "--operator", closedAddress()).exitCode(), is(1));
    }
  }

  @Nested
  class Drain {

    @Test
    void drainsOnlyTheNamedInstance() throws Exception {
      enqueueResponse(
          200, NORTH_STATUS.replace("\"instance\": \"pk-north-1\"", "\"instance\": \"other\""));
      enqueueResponse(200, NORTH_STATUS);
      enqueueResponse(202, "{\"draining\": true}");
      CommandRun.of("drain", "pk-north-1", "--operator", address(), "--operator", address());
      server.takeRequest();
      server.takeRequest();
      assertThat(server.takeRequest().getRequestLine(), is("POST /drain HTTP/1.1"));
    }

    @Test
    void succeedsIfInstanceAcceptsDrain() {
      enqueueResponse(200, NORTH_STATUS);
      enqueueResponse(202, "{\"draining\": true}");
      assertThat(CommandRun.of("drain", "pk-north-1", "--operator", address()).exitCode(), is(0));
    }

    @Test
    void drainsNoInstanceIfNameIsUnknown() {
      enqueueResponse(200, NORTH_STATUS);
      CommandRun.of("drain", "pk-north-9", "--operator", address());
      assertThat(server.getRequestCount(), is(1));
    }

    @Test
    void failsIfNameIsUnknown() {
      enqueueResponse(200, NORTH_STATUS);
      assertThat(CommandRun.of("drain", "pk-north-9", "--operator", address()).exitCode(), is(1));
    }
  }
}
