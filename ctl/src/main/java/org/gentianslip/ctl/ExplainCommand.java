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

/** Shows the recorded routing steps of a request. Confined to one thread. */
@Command(
    name = "explain",
    description = "Shows the routing steps of a request with their reasons, including refusals.",
    mixinStandardHelpOptions = true)
final class ExplainCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "REQUEST-ID", description = "The X-Request-Id of the response.")
  private String requestId;

  @Mixin private OperatorOptions options;

  @Override
  public Integer call() {
    Output output = Output.of(spec);
    OperatorClient client = options.client();
    var traces = new ArrayList<JsonNode>();
    boolean allReachable = true;
    for (OperatorAddress address : options.addresses()) {
      OperatorResponse response = client.get(address, "explain", requestId);
      if (response instanceof OperatorResponse.Success success) {
        traces.add(success.body());
      } else if (response instanceof OperatorResponse.Failure failure
          && !(failure instanceof OperatorResponse.NotFound)) {
        allReachable = false;
        output.error(failure.message());
      }
    }
    if (traces.isEmpty()) {
      output.error(
          (allReachable ? "No instance" : "No instance that could be reached")
              + " has a record of the request \""
              + requestId
              + "\".");
      return ExitStatus.FAILURE;
    }
    traces.sort(Comparator.comparingLong(ExplainCommand::lastStepMillis).reversed());
    print(output, traces);
    return allReachable ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
  }

  /**
   * Returns the time of the last step, in milliseconds since the instance admitted the request.
   *
   * <p>It is highest at the instance that admitted the request first.
   */
  private static long lastStepMillis(JsonNode trace) {
    long lastMillis = 0;
    for (JsonNode step : trace.path("steps")) {
      lastMillis = Math.max(lastMillis, step.path("atMillis").asLong());
    }
    return lastMillis;
  }

  private void print(Output output, List<JsonNode> traces) {
    if (options.json()) {
      ObjectNode body = JsonNodeFactory.instance.objectNode().put("request", requestId);
      traces.forEach(body.putArray("instances")::add);
      output.json(body);
      return;
    }
    TextTable table = TextTable.of("INSTANCE", "AT MS", "STEP", "TARGET", "REASON");
    for (JsonNode trace : traces) {
      for (JsonNode step : trace.path("steps")) {
        table.add(
            trace.path("instance").asText(),
            step.path("atMillis").asText(),
            step.path("step").asText(),
            step.path("target").asText(),
            step.path("reason").asText());
      }
    }
    table.lines().forEach(output::line);
  }
}
