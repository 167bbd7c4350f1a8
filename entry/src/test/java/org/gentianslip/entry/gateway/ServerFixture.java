package org.gentianslip.entry.gateway;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.route.CallerLimits;
import org.gentianslip.core.route.Repeatability;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.route.ServiceProfile;
import org.gentianslip.core.route.WeightedService;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Provides a server with one backend server; closes both after the test. */
final class ServerFixture implements BeforeEachCallback, AfterEachCallback {

  static final long TIMEOUT_MILLIS = 5_000;

  private static final String HOST = "127.0.0.1";
  private static final ServiceId DESK = ServiceId.of("desk");
  private static final DataCentreId CENTRE = DataCentreId.of("north-a");
  private static final RegionId NORTH = RegionId.of("north");
  private static final EngineId BACKEND = EngineId.of("b1");

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Long> receivedDeadlines = new CopyOnWriteArrayList<>();
  private final EdgeHeaders headers;
  private HttpServer backend;
  private GatewayState state;
  private GatewayServer server;
  private int port;

  /** An answer without a body; its headers are in lower case. */
  record Answer(String status, String headers) {

    boolean isNotRun() {
      return status.startsWith("HTTP/1.1 503")
          && headers.contains("x-gentian-outcome: not-run")
          && headers.contains("retry-after: ");
    }

    boolean isSuccess() {
      return status.startsWith("HTTP/1.1 200");
    }
  }

  ServerFixture(EdgeHeaders headers) {
    this.headers = headers;
  }

  /** Returns the times left, in milliseconds, of the requests that the backend server received. */
  List<Long> receivedDeadlines() {
    return receivedDeadlines;
  }

  ExecutorService threads() {
    return threads;
  }

  Socket connect() throws IOException {
    return new Socket(HOST, port);
  }

  /** Sends a request on a connection and returns its answer. */
  static Answer call(Socket socket, String id, long deadlineMillis) throws IOException {
    String head =
        "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline: %d\r\n\r\n";
    String text = String.format(head, id, deadlineMillis);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    var reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    String status = reader.readLine();
    var received = new StringBuilder();
    for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
      received.append(line.toLowerCase(Locale.ROOT)).append('\n');
    }
    return new Answer(status, received.toString());
  }

  /** Returns how many ranks had requests refused for a reason. */
  long refusedRanks(String reason) {
    String text = new String(server.operatorView().metrics(), StandardCharsets.UTF_8);
    return text.lines().filter(l -> l.contains("reason=\"" + reason + "\"")).count();
  }

  private static int freePort() throws IOException {
    try (var free = new ServerSocket(0)) {
      return free.getLocalPort();
    }
  }

  private void answer(HttpExchange exchange) throws IOException {
    receivedDeadlines.add(Long.parseLong(exchange.getRequestHeaders().getFirst("Deadline")));
    String id = exchange.getRequestHeaders().getFirst("Request-Id");
    exchange.getResponseHeaders().set("Request-Id", id);
    exchange.sendResponseHeaders(200, -1);
    exchange.close();
  }

  /** Publishes the backend server at another address. */
  void publishAt(String address) {
    state.applyPublished(System.nanoTime(), published(address));
  }

  private PublishedState published(String address) {
    var route =
        new Route(
            "r",
            "shop.example",
            "/look/",
            Repeatability.REPEATABLE,
            false,
            TIMEOUT_MILLIS,
            600,
            1,
            1,
            List.of(new WeightedService(DESK, 1)),
            Set.of());
    var service = new ServiceProfile(DESK, 1_000, 0, 1_000, Optional.empty());
    var routes = RouteTable.of(1, List.of(route), List.of(service), CallerLimits.DEFAULT);
    var desk = new Backend(BACKEND, DESK, address, CENTRE, 1_000, false, 0, 0);
    return new PublishedState(
        Revision.of(1, 1), Optional.of(routes), Map.of(BACKEND, desk), Set.of());
  }

  @Override
  public void beforeEach(ExtensionContext context) throws Exception {
    backend = HttpServer.create(new InetSocketAddress(HOST, 0), 0);
    backend.createContext("/", this::answer);
    backend.setExecutor(threads);
    backend.start();
    port = freePort();
    var config =
        new GatewayConfig(
            InstanceId.of("i1"),
            NORTH,
            CENTRE,
            Map.of(CENTRE, NORTH),
            HOST,
            port,
            freePort(),
            freePort(),
            List.of(),
            100,
            new GatewayBounds(0.2, 56, 10_000, 1.5, 3, 8_000));
    state = new GatewayState(config, 1);
    publishAt(HOST + ":" + backend.getAddress().getPort());
    server =
        new GatewayServer(
            state,
            headers,
            new NoReports(),
            () -> CompletableFuture.completedFuture(false),
            () -> {});
    server.start();
  }

  @Override
  public void afterEach(ExtensionContext context) {
    server.close();
    backend.stop(0);
    threads.shutdownNow();
  }
}
