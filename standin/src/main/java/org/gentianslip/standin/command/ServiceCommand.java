package org.gentianslip.standin.command;

import java.util.concurrent.Callable;
import org.gentianslip.standin.service.ServiceOptions;
import org.gentianslip.standin.service.ServiceStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-in for a plain service. Confined to one thread. */
@Command(
    name = "service",
    description = "Runs a plain service that executes calls of any path and records them.",
    mixinStandardHelpOptions = true,
    versionProvider = StandinVersion.class)
public final class ServiceCommand implements Callable<Integer> {

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "Port to listen on; 0 selects a free one.")
  private int port;

  @Option(names = "--id", required = true, description = "Id of the backend server.")
  private String id;

  @Option(names = "--service", required = true, description = "Service that it provides.")
  private String service;

  @Option(
      names = "--latency-millis",
      defaultValue = "2",
      description = "Milliseconds from the arrival of a call to its execution (${DEFAULT-VALUE}).")
  private long latencyMillis;

  @Override
  public Integer call() throws InterruptedException {
    var standin = ServiceStandin.start(new ServiceOptions(port, id, service, latencyMillis));
    return StandinRunner.runUntilExit("service", standin.port(), standin);
  }
}
