package org.gentianslip.standin.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import org.gentianslip.standin.config.ConfigOptions;
import org.gentianslip.standin.config.ConfigStandin;
import org.gentianslip.standin.http.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a config service. Confined to one thread. */
@Command(
    name = "config",
    description = "Runs a config service that is read and watched over HTTP.",
    mixinStandardHelpOptions = true,
    versionProvider = StandinVersion.class)
public final class ConfigCommand implements Callable<Integer> {

  @Option(names = "--port", defaultValue = "0", description = "Port, 0 for a free one.")
  private int port;

  @Option(names = "--publish", description = "JSON file: an object of keys and their values.")
  private Path publish;

  @Option(
      names = "--calls-per-second",
      defaultValue = "2000",
      description = "Calls of readers that are answered in a second (${DEFAULT-VALUE}).")
  private int callsPerSecond;

  @Option(
      names = "--lag",
      paramLabel = "PREFIX=MILLIS",
      description = "How long changes of keys with this prefix stay invisible.")
  private Map<String, Long> lagMillis = new HashMap<>();

  @Override
  public Integer call() throws IOException, InterruptedException {
    var options = new ConfigOptions(port, callsPerSecond, lagMillis);
    var standin = ConfigStandin.start(options, readValues());
    return RunningStandin.await("config", standin.port(), standin);
  }

  private Map<String, String> readValues() throws IOException {
    var values = new LinkedHashMap<String, String>();
    if (publish == null) {
      return values;
    }
    var tree = Json.MAPPER.readTree(publish.toFile());
    if (!tree.isObject()) {
      throw new IllegalArgumentException("no JSON object of keys and values: " + publish);
    }
    tree.properties().forEach(e -> values.put(e.getKey(), Json.text(e.getValue())));
    return values;
  }
}
