package org.gentianslip.demo;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.FleetPlan;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.load.compare.ComparePlan;
import org.gentianslip.load.compare.CompareReport;
import org.gentianslip.load.compare.CompareRun;
import org.gentianslip.load.compare.CompareText;
import org.gentianslip.load.work.Workload;
import picocli.CommandLine;

/**
 * Runs {@code gentian-demo overhead}, which measures the overhead of an entry.
 *
 * <p>Exits with code 1 if any call did not get its complete answer. Not thread-safe.
 */
@CommandLine.Command(
    name = "overhead",
    mixinStandardHelpOptions = true,
    versionProvider = DemoMain.Version.class,
    sortOptions = false,
    description =
        "Starts one entry before one engine and compares calls through it with direct ones.")
final class OverheadCommand implements Callable<Integer> {

  private static final String REGION = "pk-central";
  private static final EnginePlan ENGINE = new EnginePlan(2_000, 100, 20);

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

  @CommandLine.Option(
      names = "--entry-heap",
      defaultValue = "256m",
      description = "The entry's heap (default: ${DEFAULT-VALUE}).")
  private String entryHeap;

  @CommandLine.Option(
      names = "--token-millis",
      defaultValue = "20",
      description = "The engine's time between tokens (default: ${DEFAULT-VALUE}).")
  private double tokenMillis;

  @CommandLine.Option(
      names = "--base-port",
      defaultValue = "18000",
      description = "The first port in use (default: ${DEFAULT-VALUE}).")
  private int basePort;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    FleetPlan plan =
        FleetPlan.named("qadri")
            .withBasePort(basePort)
            .withEntryHeap(entryHeap)
            .withEngine(new EnginePlan(ENGINE.slots(), ENGINE.queue(), tokenMillis))
            .withRegions(RegionPlan.of(REGION, 1, 1, 0));
    try (Fleet fleet = Fleet.start(plan)) {
      String direct = fleet.layout().backends().get(0).address();
      String through = fleet.layout().entries().get(0).callerAddress();
      ComparePlan compare =
          ComparePlan.of(
              Workload.named(plan.name()), direct, through, streams, maxTokens, callers, seconds);
      CompareReport report = new CompareRun(compare, System::nanoTime).run();
      PrintWriter out = spec.commandLine().getOut();
      out.println(CompareText.of(report));
      out.flush();
      return report.failures() > 0 ? CommandLine.ExitCode.SOFTWARE : CommandLine.ExitCode.OK;
    }
  }
}
