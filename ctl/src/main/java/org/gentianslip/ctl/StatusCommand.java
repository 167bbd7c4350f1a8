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

/** Shows the state of instances and engines. Used by one thread. */
@Command(
    name = "status",
    description = "Shows instances, their settings, what lags, engines, queues and what leaves.",
    mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Mixin private OperatorOptions options;

  @Override
  public Integer call() {
    Output output = Output.of(spec);
    OperatorClient client = options.client();
    var answers = new ArrayList<JsonNode>();
    var errors = new ArrayList<String>();
    for (OperatorAddress address : options.addresses()) {
      OperatorAnswer answer = client.get(address, "status");
      if (answer instanceof OperatorAnswer.Success success) {
        answers.add(success.body());
      } else if (answer instanceof OperatorAnswer.Failure failure) {
        errors.add(failure.message());
      }
    }
    if (options.json()) {
      printJson(output, answers, errors);
    } else {
      StatusTables.of(answers).forEach(output::line);
    }
    errors.forEach(output::error);
    return errors.isEmpty() ? ExitStatus.DONE : ExitStatus.FAILED;
  }

  private static void printJson(Output output, List<JsonNode> answers, List<String> errors) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    answers.forEach(body.putArray("instances")::add);
    errors.forEach(body.putArray("errors")::add);
    output.json(body);
  }
}
