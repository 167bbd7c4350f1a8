package org.gentianslip.standin.command;

import java.util.concurrent.Callable;
import org.gentianslip.standin.service.ServiceOptions;
import org.gentianslip.standin.service.ServiceStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a plain service. Confined to one thread. */
@Command(
    name = "service",
    description = "Runs a plain service that executes calls of any path and records them.",
    mixinStandardHelpOptions = true,
    versionProvider = StandinVersion.class)
public final class ServiceCommand implements Callable<Integer> {

  @Option(names = "--port", defaultValue = "0", description = "Port, 0 for a free one.")
  private int port;

  @Option(names = "--id", required = true, description = "Id of the backend server.")
  private String id;

  @Option(names = "--service", required = true, description = "Service that it offers.")
  private String service;

  @Option(
      names = "--latency-millis",
      defaultValue = "2",
      description = "Time from arrival to execution (${DEFAULT-VALUE}).")
  private long latencyMillis;

  @Override
  public Integer call() throws InterruptedException {
    var standin = ServiceStandin.start(new ServiceOptions(port, id, service, latencyMillis));
    return RunningStandin.await("service", standin.port(), standin);
  }
}
