package org.gentianslip.standin.relay;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A port that is passed on to an address. Immutable.
 *
 * @param listen the port to listen on, or 0 for a free one
 * @param toHost the host to pass on to
 * @param toPort the port to pass on to
 * @param oneWayMillis the latency in one direction in milliseconds
 * @param megabitsPerSecond what the link carries in each direction, or 0 for no limit; the first
 *     route of a link decides
 * @param link the link, {@code FROM/TO} as seen by the side that connects
 */
public record RelayRoute(
    int listen,
    String toHost,
    int toPort,
    double oneWayMillis,
    double megabitsPerSecond,
    String link) {

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if one is out of its range
   */
  public RelayRoute {
    if (listen < 0 || listen > 65535 || toPort < 1 || toPort > 65535) {
      throw new IllegalArgumentException("port is out of range: " + listen + " or " + toPort);
    }
    if (oneWayMillis < 0 || megabitsPerSecond < 0) {
      throw new IllegalArgumentException(
          "latency and rate must not be negative: " + oneWayMillis + ", " + megabitsPerSecond);
    }
  }

  /** Returns a route from a free port to a port of this machine. */
  public static RelayRoute toLocalPort(int port, String link) {
    return new RelayRoute(0, "127.0.0.1", port, 0, 0, link);
  }

  /** Returns this route with another latency. */
  public RelayRoute withOneWayMillis(double other) {
    return new RelayRoute(listen, toHost, toPort, other, megabitsPerSecond, link);
  }

  /** Returns this route with another rate. */
  public RelayRoute withMegabitsPerSecond(double other) {
    return new RelayRoute(listen, toHost, toPort, oneWayMillis, other, link);
  }

  /**
   * Reads a route such as {@code {"listen": 9001, "to": "127.0.0.1:8001", "oneWayMillis": 55,
   * "megabitsPerSecond": 100, "link": "graz/wien"}}.
   *
   * @throws IllegalArgumentException if a member is missing or invalid
   */
  static RelayRoute parse(JsonNode route) {
    String to = route.path("to").asText();
    int colon = to.lastIndexOf(':');
    if (colon < 1 || !route.path("listen").isInt() || !route.path("link").isTextual()) {
      throw new IllegalArgumentException("a route needs listen, to as IP:PORT and link: " + route);
    }
    return new RelayRoute(
        route.path("listen").asInt(),
        to.substring(0, colon),
        Integer.parseInt(to.substring(colon + 1)),
        route.path("oneWayMillis").asDouble(0),
        route.path("megabitsPerSecond").asDouble(0),
        route.path("link").asText());
  }
}
