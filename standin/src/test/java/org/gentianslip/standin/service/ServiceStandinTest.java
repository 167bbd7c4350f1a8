package org.gentianslip.standin.service;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gentianslip.standin.http.StandinJson;
import org.gentianslip.standin.http.TestClient;
import org.gentianslip.standin.http.TestClient.TestResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(60)
class ServiceStandinTest {

  private final ServiceStandin service = ServiceStandin.start(ServiceOptions.of("b1", "booking"));
  private final TestClient client = new TestClient(service::port);

  @AfterEach
  void close() {
    service.close();
  }

  @Test
  void recordsEveryExecutionWithItsCallId() throws IOException {
    book("c1").join();
    book("c1").join();
    var listed = StandinJson.MAPPER.readTree(client.get("/executions").body()).path("executions");
    assertThat(listed.size(), is(2));
    assertThat(listed.get(1).path("callId").asText(), is("c1"));
    assertThat(listed.get(1).path("path").asText(), is("/bookings"));
  }

  @Test
  void respondsToGetRequests() throws IOException {
    assertThat(client.get("/cartons/7").status(), is(200));
  }

  @Test
  void refusesBeforeStartWhenLeaving() throws IOException {
    client.post("/admin/leaving", "");
    var refused = book("c1").join();
    assertThat(refused.status(), is(503));
    assertThat(refused.header("X-Not-Started"), is("true"));
    assertThat(service.executions(), hasSize(0));
    assertThat(service.stats().seenWhileLeaving(), is(1L));
  }

  @Nested
  class WithFaults {

    @ParameterizedTest
    @CsvSource({"close-before,0", "close-after,1"})
    void closesConnectionWithoutResponse(String fault, int executions) throws IOException {
      setFault(fault);
      assertThrows(RuntimeException.class, () -> book("c1").join());
      assertThat(service.executions(), hasSize(executions));
    }

    @ParameterizedTest
    @CsvSource({"hang-before,0", "hang-after,1"})
    void doesNotRespond(String fault, int executions) throws IOException {
      setFault(fault);
      final var hanging = book("c1");
      await().until(() -> service.stats().seen() == 1);
      book("c2").join();
      assertThat(service.executions(), hasSize(executions + 1));
      assertThat(hanging.isDone(), is(false));
    }

    @ParameterizedTest
    @CsvSource({"refuse,503,0", "fail-after,500,1"})
    void respondsWithError(String fault, int status, int executions) throws IOException {
      setFault(fault);
      assertThat(book("c1").join().status(), is(status));
      assertThat(service.executions(), hasSize(executions));
    }

    @Test
    void executesAfterDelayThoughClientHasDisconnected() throws IOException {
      client.post("/admin/fault", "{\"fault\":\"delay\",\"calls\":1,\"delayMillis\":300}");
      var call = client.prepare("POST", "/bookings", "{}", Map.of("X-Call-Id", "c1"));
      new Thread(() -> assertThrows(IOException.class, call::execute)).start();
      await().until(() -> service.stats().seen() == 1);
      call.cancel();
      await().until(() -> service.executions().size() == 1);
    }

    @Test
    void rejectsUnknownFault() throws IOException {
      assertThat(client.post("/admin/fault", "{\"fault\":\"odd\"}").status(), is(400));
    }

    private void setFault(String fault) throws IOException {
      client.post("/admin/fault", "{\"fault\":\"" + fault + "\",\"calls\":1}");
    }
  }

  private CompletableFuture<TestResponse> book(String callId) {
    return client.async("POST", "/bookings", "{}", Map.of("X-Call-Id", callId));
  }
}
