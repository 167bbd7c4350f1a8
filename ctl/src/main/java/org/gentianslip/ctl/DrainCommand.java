package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Starts the graceful shutdown of an instance. Confined to one thread. */
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
    Optional<OperatorAddress> address = findAddress(client, output);
    if (address.isEmpty()) {
      output.error("None of the instances that answered is \"" + instance + "\".");
      return ExitStatus.FAILURE;
    }
    OperatorResponse response = client.post(address.get(), "drain");
    if (response instanceof OperatorResponse.Failure failure) {
      output.error(failure.message());
      return ExitStatus.FAILURE;
    }
    if (options.json()) {
      output.json(
          JsonNodeFactory.instance.objectNode().put("instance", instance).put("draining", true));
    } else {
      output.line(
          "The instance " + instance + " is leaving; it ends after the requests in flight.");
    }
    return ExitStatus.SUCCESS;
  }

  private Optional<OperatorAddress> findAddress(OperatorClient client, Output output) {
    for (OperatorAddress address : options.addresses()) {
      OperatorResponse response = client.get(address, "status");
      if (response instanceof OperatorResponse.Failure failure) {
        output.error(failure.message());
      } else if (isRequestedInstance(response)) {
        return Optional.of(address);
      }
    }
    return Optional.empty();
  }

  private boolean isRequestedInstance(OperatorResponse response) {
    return response instanceof OperatorResponse.Success success
        && success.body().path("instance").asText().equals(instance);
  }
}
