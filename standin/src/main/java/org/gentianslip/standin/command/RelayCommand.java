package org.gentianslip.standin.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.gentianslip.standin.http.Json;
import org.gentianslip.standin.relay.RelayOptions;
import org.gentianslip.standin.relay.RelayStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a relay. Confined to one thread. */
@Command(
    name = "relay",
    description = "Runs a relay that delays, limits, counts and cuts TCP connections.",
    mixinStandardHelpOptions = true,
    versionProvider = StandinVersion.class)
public final class RelayCommand implements Callable<Integer> {

  @Option(names = "--port", defaultValue = "0", description = "Port for operators, 0 for any.")
  private int port;

  @Option(names = "--config", required = true, description = "JSON file: {\"routes\": [...]}.")
  private Path config;

  @Option(
      names = "--capture-bytes",
      defaultValue = "0",
      description = "Bytes of each link that are kept to be looked at (${DEFAULT-VALUE}).")
  private int captureBytes;

  @Override
  public Integer call() throws IOException, InterruptedException {
    var routes = RelayOptions.parseRoutes(Json.MAPPER.readTree(config.toFile()));
    var standin = RelayStandin.start(new RelayOptions(port, captureBytes, routes));
    return RunningStandin.await("relay", standin.port(), standin);
  }
}
