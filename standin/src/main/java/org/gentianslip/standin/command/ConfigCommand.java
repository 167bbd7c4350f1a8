package org.gentianslip.standin.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import org.gentianslip.standin.config.ConfigOptions;
import org.gentianslip.standin.config.ConfigStandin;
import org.gentianslip.standin.http.StandinJson;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-in for the config service. Confined to one thread. */
@Command(
    name = "config",
    description = "Runs a config service that is read and watched over HTTP.",
    mixinStandardHelpOptions = true,
    versionProvider = StandinVersion.class)
public final class ConfigCommand implements Callable<Integer> {

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "Port to listen on; 0 selects a free one.")
  private int port;

  @Option(
      names = "--publish",
      description = "JSON file: an object of keys and their initial values.")
  private Path publish;

  @Option(
      names = "--calls-per-second",
      defaultValue = "2000",
      description = "Maximum number of read calls per second (${DEFAULT-VALUE}).")
  private int callsPerSecond;

  @Option(
      names = "--lag",
      paramLabel = "PREFIX=MILLIS",
      description = "Time for which changes of keys with this prefix stay invisible.")
  private Map<String, Long> lagMillis = new HashMap<>();

  @Override
  public Integer call() throws IOException, InterruptedException {
    var options = new ConfigOptions(port, callsPerSecond, lagMillis);
    var standin = ConfigStandin.start(options, readValues());
    return StandinRunner.runUntilExit("config", standin.port(), standin);
  }

  private Map<String, String> readValues() throws IOException {
    var values = new LinkedHashMap<String, String>();
    if (publish == null) {
      return values;
    }
    var tree = StandinJson.MAPPER.readTree(publish.toFile());
    if (!tree.isObject()) {
      throw new IllegalArgumentException(
          "the file must be a JSON object of keys and values: " + publish);
    }
    tree.properties().forEach(e -> values.put(e.getKey(), StandinJson.toText(e.getValue())));
    return values;
  }
}
