package org.gentianslip.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.gentianslip.load.compare.ComparePlan;
import org.gentianslip.load.compare.CompareReport;
import org.gentianslip.load.compare.CompareRun;
import org.gentianslip.load.report.Latency;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.WorkShare;
import org.gentianslip.load.work.Workload;
import picocli.CommandLine;

/**
 * Runs {@code gentian-load compare}.
 *
 * <p>Exits with 1 if a call was not answered whole. The command line is read by one thread.
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
    out.println(json ? new ObjectMapper().writeValueAsString(report) : text(report));
    out.flush();
    return report.failures() > 0 ? CommandLine.ExitCode.SOFTWARE : CommandLine.ExitCode.OK;
  }

  private ComparePlan plan() {
    try {
      WorkShare base = Workload.named(fleet).only(ActionType.CHAT_STREAM).shares().get(0);
      return new ComparePlan(
          direct,
          through,
          share(base, ActionType.CHAT_STREAM, maxTokens),
          share(base, ActionType.CHAT_WHOLE, 1),
          streams,
          callers,
          Duration.ofSeconds(seconds),
          Duration.ofSeconds(1));
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
    }
  }

  private static WorkShare share(WorkShare base, ActionType action, int maxTokens) {
    return new WorkShare(
        base.customer(),
        base.key(),
        base.kind(),
        base.rank(),
        action,
        base.target(),
        1,
        0,
        maxTokens);
  }

  private static String text(CompareReport report) {
    return String.join(
        "\n",
        String.format("%-28s %9s %9s %9s %9s", "milliseconds", "p50", "p90", "p99", "count"),
        line("first token, direct", report.directFirst()),
        line("first token, through entry", report.throughFirst()),
        line("whole stream, direct", report.directWhole()),
        line("whole stream, through entry", report.throughWhole()),
        String.format(
            Locale.ROOT,
            "The entry adds %.2f ms to the median first token, a ratio of %.3f.",
            report.addedFirstMillis(),
            report.firstRatio()),
        String.format(
            Locale.ROOT,
            "Brief calls a second: %.0f direct, %.0f through the entry, a ratio of %.3f.",
            report.directPerSecond(),
            report.throughPerSecond(),
            report.throughPerSecond() / report.directPerSecond()),
        report.failures() + " calls were not answered whole.");
  }

  private static String line(String name, Latency latency) {
    return String.format(
        Locale.ROOT,
        "%-28s %9.2f %9.2f %9.2f %9d",
        name,
        latency.p50Millis(),
        latency.p90Millis(),
        latency.p99Millis(),
        latency.count());
  }
}
