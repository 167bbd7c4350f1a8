package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Starts the graceful shutdown of an instance. Used by one thread. */
@Command(
    name = "drain",
    description = "Starts the graceful shutdown of an instance.",
    mixinStandardHelpOptions = true)
final class DrainCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "INSTANCE", description = "The id of the instance.")
  private String instance;

  @Mixin private OperatorOptions options;

  @Override
  public Integer call() {
    Output output = Output.of(spec);
    OperatorClient client = options.client();
    Optional<OperatorAddress> address = find(client, output);
    if (address.isEmpty()) {
      output.error("No instance that answered is \"" + instance + "\".");
      return ExitStatus.FAILED;
    }
    OperatorAnswer answer = client.post(address.get(), "drain");
    if (answer instanceof OperatorAnswer.Failure failure) {
      output.error(failure.message());
      return ExitStatus.FAILED;
    }
    if (options.json()) {
      output.json(
          JsonNodeFactory.instance.objectNode().put("instance", instance).put("draining", true));
    } else {
      output.line(
          "The instance " + instance + " is leaving; it ends after the requests in flight.");
    }
    return ExitStatus.DONE;
  }

  private Optional<OperatorAddress> find(OperatorClient client, Output output) {
    for (OperatorAddress address : options.addresses()) {
      OperatorAnswer answer = client.get(address, "status");
      if (answer instanceof OperatorAnswer.Failure failure) {
        output.error(failure.message());
      } else if (isInstance(answer)) {
        return Optional.of(address);
      }
    }
    return Optional.empty();
  }

  private boolean isInstance(OperatorAnswer answer) {
    return answer instanceof OperatorAnswer.Success success
        && success.body().path("instance").asText().equals(instance);
  }
}
