package org.gentianslip.standin.relay;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A port whose connections are relayed to an address over a link. Immutable.
 *
 * @param listen the port to listen on, or 0 for a free one
 * @param toHost the host to relay to
 * @param toPort the port to relay to
 * @param oneWayMillis the one-way latency, in milliseconds
 * @param megabitsPerSecond the capacity of the link in each direction, or 0 for no limit; the value
 *     of the first route of a link applies
 * @param link the link as {@code FROM/TO}, where {@code FROM} is the end that connects
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
   * @throws IllegalArgumentException if a number is out of range
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

  /** Returns a route from a free port to a port of the loopback address. */
  public static RelayRoute toLocalPort(int port, String link) {
    return new RelayRoute(0, "127.0.0.1", port, 0, 0, link);
  }

  /** Returns this route with another latency. */
  public RelayRoute withOneWayMillis(double newOneWayMillis) {
    return new RelayRoute(listen, toHost, toPort, newOneWayMillis, megabitsPerSecond, link);
  }

  /** Returns this route with another rate. */
  public RelayRoute withMegabitsPerSecond(double newMegabitsPerSecond) {
    return new RelayRoute(listen, toHost, toPort, oneWayMillis, newMegabitsPerSecond, link);
  }

  /**
   * Parses a route such as {@code {"listen": 9001, "to": "127.0.0.1:8001", "oneWayMillis": 55,
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
