package org.gentianslip.entry.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.route.WeightedService;
import org.gentianslip.entry.http.Json;

/**
 * Renders routes as branches of the settings tree, in the JSON form that instances and the command
 * line share. Stateless and safe for use by several threads.
 */
final class RouteReport {

  private RouteReport() {}

  /**
   * Returns the values in force.
   *
   * @param kind the name of a route, which acts as the kind of work; empty for all routes
   */
  static ObjectNode of(RouteTable table, String kind, GatewayBounds bounds) {
    ObjectNode body = Json.object().put("revision", table.version());
    ObjectNode values = body.putObject("values");
    String published = "published version " + table.version();
    for (Route route : table.routes()) {
      if (kind.isEmpty() || kind.equals(route.name())) {
        addRoute(values, route, published);
      }
    }
    String file = "settings file";
    add(values, "repeatShare", Json.tree(bounds.repeatShare()), file);
    add(values, "repeatExtra", Json.tree(bounds.repeatExtra()), file);
    add(values, "repeatWindowMillis", Json.tree(bounds.repeatWindowMillis()), file);
    add(values, "coldShare", Json.tree(bounds.coldShare()), file);
    add(values, "coldExtra", Json.tree(bounds.coldExtra()), file);
    add(values, "graceMillis", Json.tree(bounds.graceMillis()), file);
    add(values, "strictRevocation", Json.tree(bounds.revocation().strict()), file);
    add(values, "revocationMillis", Json.tree(bounds.revocation().limitMillis()), file);
    return body;
  }

  private static void addRoute(ObjectNode values, Route route, String origin) {
    String branch = route.name() + "/";
    ObjectNode services = Json.object();
    for (WeightedService part : route.services()) {
      services.put(part.service().value(), part.weight());
    }
    add(values, branch + "host", Json.tree(route.host()), origin);
    add(values, branch + "prefix", Json.tree(route.prefix()), origin);
    add(values, branch + "repeatability", Json.tree(route.repeatability().name()), origin);
    add(values, branch + "streaming", Json.tree(route.streaming()), origin);
    add(values, branch + "timeoutMillis", Json.tree(route.timeoutMillis()), origin);
    add(values, branch + "objectiveMillis", Json.tree(route.objectiveMillis()), origin);
    add(values, branch + "maxBackends", Json.tree(route.maxBackends()), origin);
    add(values, branch + "rank", Json.tree(route.rank()), origin);
    add(values, branch + "services", services, origin);
    var regions = route.allowedRegions().stream().map(RegionId::value).sorted().toList();
    add(values, branch + "allowedRegions", Json.tree(regions), origin);
  }

  private static void add(ObjectNode values, String name, JsonNode value, String origin) {
    values.putObject(name).put("origin", origin).set("value", value);
  }
}
