package org.gentianslip.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.function.Function;
import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.fleet.Fleets;
import org.gentianslip.bench.report.BenchHtmlReport;
import org.gentianslip.bench.report.BenchJsonReport;
import org.gentianslip.bench.report.BenchTextReport;
import org.gentianslip.bench.run.PolicyComparison;
import org.gentianslip.bench.run.PolicyResult;
import org.gentianslip.bench.run.PolicySetup;
import org.gentianslip.bench.run.PolicySetups;
import org.gentianslip.bench.scenario.Scenario;
import org.gentianslip.bench.scenario.Scenarios;
import picocli.CommandLine;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The entry point of the {@code gentian-bench} command line. Not thread-safe. */
@CommandLine.Command(
    name = "gentian-bench",
    description = "Compares routing policies in virtual time, against simulated engines.",
    mixinStandardHelpOptions = true,
    versionProvider = BenchMain.Version.class)
public final class BenchMain implements Callable<Integer> {

  @Spec private CommandLine.Model.CommandSpec spec;

  @Option(names = "--seed", defaultValue = "1", description = "The seed of all draws.")
  private long seed;

  @Option(names = "--fleet", split = ",", description = "The fleets; all by default.")
  private List<String> fleets = List.of();

  @Option(names = "--scenario", split = ",", description = "The scenarios; all by default.")
  private List<String> scenarios = List.of();

  @Option(names = "--policy", split = ",", description = "The policies; all by default.")
  private List<String> policies = List.of();

  @Option(names = "--json", paramLabel = "FILE", description = "Also writes JSON to a file.")
  private Path json;

  @Option(names = "--html", paramLabel = "FILE", description = "Also writes a page with plots.")
  private Path html;

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new BenchMain()).execute(args));
  }

  @Override
  public Integer call() throws IOException {
    List<PolicyResult> results =
        PolicyComparison.withSeed(seed)
            .run(
                select("fleet", fleets, Fleets.all(), FleetSpec::name),
                select("scenario", scenarios, Scenarios.all(), Scenario::name),
                select("policy", policies, PolicySetups.all(), PolicySetup::name));
    spec.commandLine().getOut().print(BenchTextReport.of(seed, results));
    spec.commandLine().getOut().flush();
    if (json != null) {
      Files.writeString(json, BenchJsonReport.of(seed, results), StandardCharsets.UTF_8);
    }
    if (html != null) {
      Files.writeString(html, BenchHtmlReport.of(seed, results), StandardCharsets.UTF_8);
    }
    return CommandLine.ExitCode.OK;
  }

  private <T> List<T> select(
      String option, List<String> names, List<T> all, Function<T, String> nameOf) {
    for (String name : names) {
      if (all.stream().map(nameOf).noneMatch(name::equals)) {
        throw new ParameterException(
            spec.commandLine(),
            "There is no "
                + option
                + " \""
                + name
                + "\"; there are "
                + all.stream().map(nameOf).toList());
      }
    }
    return all.stream()
        .filter(item -> names.isEmpty() || names.contains(nameOf.apply(item)))
        .toList();
  }

  /** Provides the version in the manifest of the jar, for {@code --version}. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentian-bench "
            + Objects.toString(BenchMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
