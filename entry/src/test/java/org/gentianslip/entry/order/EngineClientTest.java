package org.gentianslip.entry.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.OkHttpClient;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.order.EngineOrder;
import org.gentianslip.core.order.Fence;
import org.gentianslip.core.order.OrderType;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.standin.engine.EngineOptions;
import org.gentianslip.standin.engine.EngineStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EngineClientTest {

  private static final EngineOrder ORDER =
      new EngineOrder(EngineId.of("engine"), OrderType.SET_ROLE, "prefill", new Fence(3, 1));

  private static final int MISDIRECTED = 421;

  private final EngineStandin engine = EngineStandin.start(EngineOptions.builder("engine").build());
  private final EngineClient client = new EngineClient(new OkHttpClient(), Duration.ofSeconds(30));

  @AfterEach
  void close() {
    engine.close();
  }

  @Test
  void writesNothingIfTheOrderMayNoLongerBeWritten() {
    assertThrows(IOException.class, () -> client.send(record(engine.port()), ORDER, () -> false));
    assertThat(engine.state().accepted(), is(empty()));
  }

  @Test
  void asksForPermissionOnlyAfterTheConnectionIsEstablished() {
    var asked = new AtomicInteger();
    int port = engine.port();
    engine.close();
    assertThrows(
        IOException.class,
        () -> client.send(record(port), ORDER, () -> asked.incrementAndGet() > 0));
    assertThat(asked.get(), is(0));
  }

  @Test
  void readsTheFenceThatTheEngineAccepted() throws IOException {
    client.send(record(engine.port()), ORDER, () -> true);
    var observedState = client.readState(record(engine.port()));
    assertThat(observedState.fence(), is(new Fence(3, 1)));
    assertThat(observedState.role(), is("prefill"));
  }

  /** Guards against an order to the engine that has got the address of another one. */
  @Test
  void isRefusedByAnotherEngineAtTheAddress() throws IOException {
    BackendRecord left = record("left", engine.port());
    assertThat(client.send(left, ORDER, () -> true), is(MISDIRECTED));
    assertThat(engine.state().accepted(), is(empty()));
    assertThrows(IOException.class, () -> client.readState(left));
  }

  private static BackendRecord record(int port) {
    return record("engine", port);
  }

  private static BackendRecord record(String id, int port) {
    String address = "127.0.0.1:" + port;
    return new BackendRecord(
        id, "graz", "graz-1", address, "model", List.of(), null, 8, true, "live");
  }
}
