package org.gentianslip.entry.http;

import com.typesafe.config.ConfigFactory;
import io.jooby.Context;
import io.jooby.Environment;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * An HTTP server on one port.
 *
 * <p>Request bodies stay in memory. The server library writes bodies that are larger than its
 * buffer to disk, so its buffer is larger than the largest body.
 *
 * <p>Handlers run on worker threads and must not block; the route of a handler that responds later
 * is marked as non-blocking. Errors of all kinds are answered with an {@link ErrorReply}. Safe for
 * use by several threads once started.
 */
public final class HttpServer implements AutoCloseable {

  private final Server server;

  private final int port;

  private HttpServer(Server server, int port) {
    this.server = server;
    this.port = port;
  }

  /**
   * Starts a server.
   *
   * @param host the IP address to listen on
   * @param port the port to listen on
   * @param maxBodyBytes the maximum size of a body, in bytes
   * @param check decides by the head of a request whether its body is read
   * @param routes adds the routes
   * @throws UncheckedIOException if another process listens on the port
   */
  public static HttpServer start(
      String host, int port, int maxBodyBytes, HeadCheck check, Consumer<Jooby> routes) {
    GuardInstaller.register(port, check, maxBodyBytes);
    requireFree(host, port);
    var options = new ServerOptions();
    options.setPort(port);
    options.setHost(host);
    options.setMaxRequestSize(maxBodyBytes);
    options.setBufferSize(maxBodyBytes + 1);
    options.setDefaultHeaders(false);
    options.setServer("netty");
    var app = new Jooby();
    // Reading the configuration of the library from all its sources takes time at each start.
    app.setEnvironment(new Environment(HttpServer.class.getClassLoader(), ConfigFactory.empty()));
    // The working directory may be read-only. Nothing is written to the temporary directory either,
    // because bodies stay in memory.
    app.setTmpdir(Path.of(System.getProperty("java.io.tmpdir")));
    app.setServerOptions(options);
    app.setExecutionMode(ExecutionMode.WORKER);
    app.setStartupSummary(List.of());
    app.error((ctx, cause, status) -> sendError(ctx, cause, status));
    routes.accept(app);
    var netty = new OwnedServer();
    netty.setOptions(options);
    return new HttpServer(netty.start(app), port);
  }

  /**
   * Fails if the port is in use, because the server would otherwise share it with the other
   * process.
   */
  private static void requireFree(String host, int port) {
    try (var socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(host, port));
    } catch (IOException e) {
      throw new UncheckedIOException("Port " + port + " of " + host + " is already in use", e);
    }
  }

  private static void sendError(Context ctx, Throwable cause, StatusCode status) {
    ErrorReply reply = errorReply(ctx, status);
    ctx.setResponseCode(reply.code().status());
    ctx.setResponseType("application/json");
    ctx.setResponseHeader(HeaderNames.OUTCOME, reply.outcome().text());
    reply.headers().forEach(ctx::setResponseHeader);
    ctx.send(reply.toJson());
  }

  private static ErrorReply errorReply(Context ctx, StatusCode status) {
    // Netty sets this path on a request whose head it could not decode.
    if (ctx.getRequestPath().equals("/bad-request")) {
      return headersTooLarge();
    }
    return switch (status.value()) {
      case 431 -> headersTooLarge();
      case 400 -> ErrorReply.notRun(ErrorCode.MALFORMED_REQUEST, "The request is malformed.");
      case 404 -> ErrorReply.notRun(ErrorCode.UNKNOWN_PATH, "Nothing is served at this path.");
      case 405 ->
          ErrorReply.notRun(ErrorCode.METHOD_NOT_ALLOWED, "The method is not served at this path.");
      case 413 ->
          new ErrorReply(
              ErrorCode.BODY_TOO_LARGE,
              "The body is larger than this instance accepts.",
              OutcomeName.NOT_RUN,
              List.of(),
              Map.of("Connection", "close"));
      default ->
          ErrorReply.unknown(ErrorCode.INTERNAL, "This instance failed to handle the request.");
    };
  }

  private static ErrorReply headersTooLarge() {
    return ErrorReply.notRun(
            ErrorCode.HEADERS_TOO_LARGE, "The request line or the headers are too large.")
        .withHeader("Connection", "close");
  }

  /** Stops the server at once; a graceful shutdown first waits for requests in flight. */
  @Override
  public void close() {
    server.stop();
    GuardInstaller.unregister(port);
  }

  /**
   * A server that only its owner stops.
   *
   * <p>The library adds a shutdown hook at each start and keeps it after the stop, so that the hook
   * retains the server with its event loops and stops it beside the owner's own order.
   */
  private static final class OwnedServer extends NettyServer {

    @Override
    protected void addShutdownHook() {
      // The owner closes the server.
    }
  }
}
