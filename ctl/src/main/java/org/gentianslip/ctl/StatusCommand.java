package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Shows the state of instances and engines. Confined to one thread. */
@Command(
    name = "status",
    description =
        "Shows instances with settings revisions, lag and queues, engines, and what is leaving.",
    mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Mixin private OperatorOptions options;

  @Override
  public Integer call() {
    Output output = Output.of(spec);
    OperatorClient client = options.client();
    var statuses = new ArrayList<JsonNode>();
    var errors = new ArrayList<String>();
    for (OperatorAddress address : options.addresses()) {
      OperatorResponse response = client.get(address, "status");
      if (response instanceof OperatorResponse.Success success) {
        statuses.add(success.body());
      } else if (response instanceof OperatorResponse.Failure failure) {
        errors.add(failure.message());
      }
    }
    if (options.json()) {
      printJson(output, statuses, errors);
    } else {
      StatusTables.of(statuses).forEach(output::line);
    }
    errors.forEach(output::error);
    return errors.isEmpty() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
  }

  private static void printJson(Output output, List<JsonNode> statuses, List<String> errors) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    statuses.forEach(body.putArray("instances")::add);
    errors.forEach(body.putArray("errors")::add);
    output.json(body);
  }
}
