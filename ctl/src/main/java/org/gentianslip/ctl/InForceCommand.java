package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows the values in force at running instances. Confined to one thread. */
@Command(
    name = "in-force",
    description = "Shows the values in force at running instances, and where each comes from.",
    mixinStandardHelpOptions = true)
final class InForceCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Mixin private OperatorOptions options;

  @Option(names = "--region", defaultValue = "", description = "Narrows to a region.")
  private String region;

  @Option(names = "--kind", defaultValue = "", description = "Narrows to a kind of work.")
  private String kind;

  @Option(names = "--customer", defaultValue = "", description = "Narrows to a customer.")
  private String customer;

  @Override
  public Integer call() {
    Output output = Output.of(spec);
    Map<String, String> query = query();
    boolean allAnswered = true;
    for (OperatorAddress address : options.addresses()) {
      OperatorResponse response = options.client().get(address, query, "settings");
      if (response instanceof OperatorResponse.Success success) {
        print(output, address, success.body());
      } else if (response instanceof OperatorResponse.Failure failure) {
        allAnswered = false;
        output.error(failure.message());
      }
    }
    return allAnswered ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
  }

  private Map<String, String> query() {
    var query = new LinkedHashMap<String, String>();
    query.put("region", region);
    query.put("kind", kind);
    query.put("customer", customer);
    query.values().removeIf(String::isEmpty);
    return query;
  }

  private void print(Output output, OperatorAddress address, JsonNode body) {
    if (options.json()) {
      ObjectNode bodyWithAddress = JsonNodeFactory.instance.objectNode();
      output.json(bodyWithAddress.put("operator", address.toString()).setAll((ObjectNode) body));
      return;
    }
    output.line("Revision " + body.path("revision").asText() + " at " + address + ":");
    TextTable table = TextTable.of("SETTING", "VALUE", "ORIGIN");
    for (Map.Entry<String, JsonNode> value : body.path("values").properties()) {
      table.add(
          value.getKey(),
          value.getValue().path("value").toString(),
          value.getValue().path("origin").asText());
    }
    table.lines().forEach(output::line);
  }
}
