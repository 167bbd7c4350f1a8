package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows why a request went where it went. Used by one thread. */
@Command(
    name = "explain",
    description = "Shows why a request went where it went, and what refused it.",
    mixinStandardHelpOptions = true)
final class ExplainCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "REQUEST-ID", description = "The X-Request-Id of the answer.")
  private String requestId;

  @Mixin private OperatorOptions options;

  @Override
  public Integer call() {
    Output output = Output.of(spec);
    OperatorClient client = options.client();
    var accounts = new ArrayList<JsonNode>();
    boolean allAsked = true;
    for (OperatorAddress address : options.addresses()) {
      OperatorAnswer answer = client.get(address, "explain", requestId);
      if (answer instanceof OperatorAnswer.Success success) {
        accounts.add(success.body());
      } else if (answer instanceof OperatorAnswer.Failure failure
          && !(failure instanceof OperatorAnswer.NotFound)) {
        allAsked = false;
        output.error(failure.message());
      }
    }
    if (accounts.isEmpty()) {
      output.error(
          (allAsked ? "No instance" : "No instance that could be asked")
              + " knows the request \""
              + requestId
              + "\".");
      return ExitStatus.FAILED;
    }
    accounts.sort(Comparator.comparingLong(ExplainCommand::lengthMillis).reversed());
    print(output, accounts);
    return allAsked ? ExitStatus.DONE : ExitStatus.FAILED;
  }

  /** Returns how long an instance had the request; the one that took it first had it longest. */
  private static long lengthMillis(JsonNode account) {
    long longest = 0;
    for (JsonNode step : account.path("steps")) {
      longest = Math.max(longest, step.path("atMillis").asLong());
    }
    return longest;
  }

  private void print(Output output, List<JsonNode> accounts) {
    if (options.json()) {
      ObjectNode body = JsonNodeFactory.instance.objectNode().put("request", requestId);
      accounts.forEach(body.putArray("instances")::add);
      output.json(body);
      return;
    }
    TextTable table = TextTable.of("INSTANCE", "AT MS", "STEP", "TARGET", "REASON");
    for (JsonNode account : accounts) {
      for (JsonNode step : account.path("steps")) {
        table.add(
            account.path("instance").asText(),
            step.path("atMillis").asText(),
            step.path("step").asText(),
            step.path("target").asText(),
            step.path("reason").asText());
      }
    }
    table.lines().forEach(output::line);
  }
}
