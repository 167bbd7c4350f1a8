package org.gentianslip.standin.relay;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The options of a {@link RelayStandin}. Immutable.
 *
 * @param adminPort the port for operators, or 0 for a free one
 * @param captureBytes the number of bytes that are captured per link
 * @param routes the routes
 */
public record RelayOptions(int adminPort, int captureBytes, List<RelayRoute> routes) {

  /** Copies the routes. */
  public RelayOptions {
    routes = List.copyOf(routes);
  }

  /** Returns options with a free port for operators and without capture. */
  public static RelayOptions of(RelayRoute... routes) {
    return new RelayOptions(0, 0, List.of(routes));
  }

  /** Returns these options with another number of captured bytes per link. */
  public RelayOptions withCaptureBytes(int newCaptureBytes) {
    return new RelayOptions(adminPort, newCaptureBytes, routes);
  }

  /**
   * Parses the routes of {@code {"routes": [...]}}.
   *
   * @throws IllegalArgumentException if a route is invalid
   */
  public static List<RelayRoute> parseRoutes(JsonNode file) {
    if (!file.path("routes").isArray()) {
      throw new IllegalArgumentException("the file must be {\"routes\": [...]}");
    }
    var routes = new ArrayList<RelayRoute>();
    file.path("routes").forEach(route -> routes.add(RelayRoute.parse(route)));
    return routes;
  }
}
