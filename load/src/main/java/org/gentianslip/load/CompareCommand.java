package org.gentianslip.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.gentianslip.load.compare.ComparePlan;
import org.gentianslip.load.compare.CompareReport;
import org.gentianslip.load.compare.CompareRun;
import org.gentianslip.load.compare.CompareText;
import org.gentianslip.load.work.Workload;
import picocli.CommandLine;

/**
 * Runs {@code gentian-load compare}.
 *
 * <p>Exits with code 1 if any call did not get its complete answer. Not thread-safe.
 */
@CommandLine.Command(
    name = "compare",
    mixinStandardHelpOptions = true,
    versionProvider = LoadMain.Version.class,
    sortOptions = false,
    description = "Calls a model engine directly and through an entry, and compares.")
final class CompareCommand implements Callable<Integer> {

  @CommandLine.Option(
      names = "--direct",
      required = true,
      paramLabel = "IP:PORT",
      description = "The model engine.")
  private String direct;

  @CommandLine.Option(
      names = "--through",
      required = true,
      paramLabel = "IP:PORT",
      description = "The entry.")
  private String through;

  @CommandLine.Option(
      names = "--fleet",
      defaultValue = "qadri",
      description = "The fleet whose customer calls: qadri or venture (default: ${DEFAULT-VALUE}).")
  private String fleet;

  @CommandLine.Option(
      names = "--streams",
      defaultValue = "200",
      description = "Concurrent streams on each path (default: ${DEFAULT-VALUE}).")
  private int streams;

  @CommandLine.Option(
      names = "--max-tokens",
      defaultValue = "32",
      description = "Tokens of a stream (default: ${DEFAULT-VALUE}).")
  private int maxTokens;

  @CommandLine.Option(
      names = "--callers",
      defaultValue = "64",
      description = "Callers that send brief calls (default: ${DEFAULT-VALUE}).")
  private int callers;

  @CommandLine.Option(
      names = "--seconds",
      defaultValue = "20",
      description = "The time of each of the two measurements (default: ${DEFAULT-VALUE}).")
  private long seconds;

  @CommandLine.Option(names = "--json", description = "Print the figures as JSON.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws InterruptedException, JsonProcessingException {
    CompareReport report = new CompareRun(plan(), System::nanoTime).run();
    PrintWriter out = spec.commandLine().getOut();
    out.println(json ? new ObjectMapper().writeValueAsString(report) : CompareText.of(report));
    out.flush();
    return report.failures() > 0 ? CommandLine.ExitCode.SOFTWARE : CommandLine.ExitCode.OK;
  }

  private ComparePlan plan() {
    try {
      return ComparePlan.of(
          Workload.named(fleet), direct, through, streams, maxTokens, callers, seconds);
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
    }
  }
}
