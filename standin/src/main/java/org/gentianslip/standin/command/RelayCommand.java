package org.gentianslip.standin.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.gentianslip.standin.http.StandinJson;
import org.gentianslip.standin.relay.RelayOptions;
import org.gentianslip.standin.relay.RelayStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the relay that simulates links between regions. Confined to one thread. */
@Command(
    name = "relay",
    description = "Runs a relay that delays, limits, counts and cuts TCP connections.",
    mixinStandardHelpOptions = true,
    versionProvider = StandinVersion.class)
public final class RelayCommand implements Callable<Integer> {

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "Port for operators; 0 selects a free one.")
  private int port;

  @Option(names = "--config", required = true, description = "JSON file: {\"routes\": [...]}.")
  private Path config;

  @Option(
      names = "--capture-bytes",
      defaultValue = "0",
      description = "Number of bytes of each link that are captured (${DEFAULT-VALUE}).")
  private int captureBytes;

  @Override
  public Integer call() throws IOException, InterruptedException {
    var routes = RelayOptions.parseRoutes(StandinJson.MAPPER.readTree(config.toFile()));
    var standin = RelayStandin.start(new RelayOptions(port, captureBytes, routes));
    return StandinRunner.runUntilExit("relay", standin.port(), standin);
  }
}
