package org.gentianslip.standin.command;

import java.util.List;
import java.util.concurrent.Callable;
import org.gentianslip.standin.engine.EngineOptions;
import org.gentianslip.standin.engine.EngineStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-in for a model engine. Confined to one thread. */
@Command(
    name = "engine",
    description = "Runs a model engine whose completions consist of the digest of the prompt.",
    mixinStandardHelpOptions = true,
    versionProvider = StandinVersion.class)
public final class EngineCommand implements Callable<Integer> {

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "Port to listen on; 0 selects a free one.")
  private int port;

  @Option(names = "--id", required = true, description = "Id of the engine.")
  private String id;

  @Option(names = "--region", required = true, description = "Region of the engine.")
  private String region;

  @Option(names = "--models", required = true, split = ",", description = "Loaded models.")
  private List<String> models;

  @Option(
      names = "--slots",
      defaultValue = "8",
      description = "Maximum number of requests in the batch (${DEFAULT-VALUE}).")
  private int slots;

  @Option(
      names = "--queue",
      defaultValue = "32",
      description = "Maximum number of requests that wait (${DEFAULT-VALUE}).")
  private int queueLength;

  @Option(
      names = "--prefill-tokens-per-second",
      defaultValue = "50000",
      description = "Prefill rate for prompt tokens that are not cached (${DEFAULT-VALUE}).")
  private double prefillTokensPerSecond;

  @Option(
      names = "--token-millis",
      defaultValue = "5",
      description = "Milliseconds between two tokens (${DEFAULT-VALUE}).")
  private double tokenMillis;

  @Option(
      names = "--cache-tokens",
      defaultValue = "65536",
      description = "Capacity of the prefix cache in tokens (${DEFAULT-VALUE}).")
  private int cacheTokens;

  @Option(
      names = "--load-lag-millis",
      defaultValue = "200",
      description = "Refresh interval of the load report (${DEFAULT-VALUE}).")
  private long loadLagMillis;

  @Option(
      names = "--load-model-millis",
      defaultValue = "500",
      description = "Time to load a model (${DEFAULT-VALUE}).")
  private long loadModelMillis;

  @Option(names = "--ignore-fencing", description = "Accept orders with a lower fence.")
  private boolean ignoreFencing;

  @Override
  public Integer call() throws InterruptedException {
    var options =
        EngineOptions.builder(id)
            .port(port)
            .region(region)
            .models(models)
            .slots(slots)
            .queueLength(queueLength)
            .prefillTokensPerSecond(prefillTokensPerSecond)
            .tokenMillis(tokenMillis)
            .cacheTokens(cacheTokens)
            .loadLagMillis(loadLagMillis)
            .loadModelMillis(loadModelMillis)
            .checksFencing(!ignoreFencing)
            .build();
    var standin = EngineStandin.start(options);
    return StandinRunner.runUntilExit("engine", standin.port(), standin);
  }
}
