package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.published.Confirmation;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.route.CallerLimits;
import org.gentianslip.core.route.Repeatability;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.route.WeightedService;
import org.gentianslip.core.time.ClockReading;
import org.gentianslip.entry.clock.Clocks;
import org.gentianslip.entry.explain.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against requests that are begun while the event loops are delayed. */
@DisplayName("The gateway, while requests wait in its event loops for half a second")
class OverloadedGatewayTest {

  private static final long MILLI = 1_000_000;
  private static final long WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final DataCentreId CENTRE = DataCentreId.of("north-a");
  private static final RegionId NORTH = RegionId.of("north");

  private final GatewayConfig config =
      new GatewayConfig(
          InstanceId.of("i1"),
          NORTH,
          CENTRE,
          Map.of(CENTRE, NORTH),
          "127.0.0.1",
          1,
          2,
          3,
          List.of(),
          100,
          new GatewayBounds(0.2, 56, 10_000, 1.5, 3, 8_000));
  private final GatewayState state = new GatewayState(config, 1);
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final Gateway gateway =
      new Gateway(
          state,
          new PlainHeaders(() -> {}, () -> {}),
          new NoReports(),
          () -> CompletableFuture.completedFuture(false),
          metrics,
          new DecisionLog());
  private final Writer writer = new Writer();

  /** Keeps a response. */
  private static final class Writer implements ResponseWriter {

    private final EventLoop loop = new DefaultEventLoop();
    private int status;
    private HttpHeaders headers = new DefaultHttpHeaders();

    @Override
    public EventLoop eventLoop() {
      return loop;
    }

    @Override
    public void writeResponse(int newStatus, HttpHeaders newHeaders, byte[] body) {
      status = newStatus;
      headers = newHeaders;
    }

    @Override
    public void beginStream(int newStatus, HttpHeaders newHeaders) {}

    @Override
    public void writePart(byte[] part) {}

    @Override
    public void endStream() {}

    @Override
    public void abort() {}

    @Override
    public boolean isWritable() {
      return true;
    }

    @Override
    public boolean checkConnected() {
      return true;
    }

    @Override
    public void setListener(CallerListener listener) {}
  }

  @BeforeEach
  void publish() {
    var route =
        new Route(
            "r",
            "shop.example",
            "/look/",
            Repeatability.ONCE,
            false,
            5_000,
            600,
            1,
            1,
            List.of(new WeightedService(ServiceId.of("desk"), 1)),
            Set.of());
    var routes = RouteTable.of(1, List.of(route), List.of(), CallerLimits.DEFAULT);
    var published = new PublishedState(Revision.of(1, 1), Optional.of(routes), Map.of(), Set.of());
    state.applyPublished(System.nanoTime(), published);
    ClockReading now = Clocks.read();
    state.knowledge().confirm(new Confirmation(1, now, false), now);
  }

  @AfterEach
  void stop() {
    writer.loop.shutdownGracefully();
  }

  private static BufferedHttpRequest request(String path, long nowNanos) {
    var headers = new DefaultHttpHeaders();
    headers.set("Host", "shop.example");
    headers.set("Request-Id", "a1");
    return new BufferedHttpRequest(
        HttpMethod.GET, path, headers, new byte[0], nowNanos - WAIT_NANOS);
  }

  /** Records a wait of 200 ms ago, so that the next one completes the belief of overload. */
  private void overload() {
    long earlier = System.nanoTime() - 200 * MILLI;
    state.processor().recordWait(earlier, request("/look/1", earlier));
  }

  private String metrics() {
    return new String(metrics.text(), StandardCharsets.UTF_8);
  }

  @Test
  void refusesRequestsOfCallersAsNotRun() {
    overload();
    gateway.handleCallerRequest(request("/look/1", System.nanoTime()), writer);
    assertThat(writer.status, is(503));
    assertThat(writer.headers.get(Gateway.OUTCOME), is(Gateway.NOT_RUN));
    assertThat(writer.headers.get("Request-Id"), is("a1"));
    assertThat(Double.parseDouble(writer.headers.get("Retry-After")), is(greaterThan(0.25)));
    assertThat(metrics(), containsString("{rank=\"1\",reason=\"overloaded\"} 1.0"));
    assertThat(gateway.inFlight(), is(0));
  }

  @Test
  void refusesRequestsOfOtherInstancesAsNotRun() {
    overload();
    gateway.handleForwardedRequest(request("/look/1", System.nanoTime()), writer);
    assertThat(writer.headers.get(Gateway.OUTCOME), is(Gateway.NOT_RUN));
    assertThat(metrics(), containsString("{rank=\"1\",reason=\"overloaded\"} 1.0"));
  }

  @Test
  void answersUnknownPathsAsBefore() {
    overload();
    gateway.handleCallerRequest(request("/none/1", System.nanoTime()), writer);
    assertThat(writer.status, is(404));
  }

  @Test
  void beginsTheFirstRequestAfterAnIdlePeriod() {
    gateway.handleCallerRequest(request("/look/1", System.nanoTime()), writer);
    assertThat(metrics(), containsString("reason=\"no-backend\"} 1.0"));
  }
}
