package org.gentianslip.demo;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.FleetPlan;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.load.call.CachingEntryFinder;
import org.gentianslip.load.call.CallResult;
import org.gentianslip.load.call.DirectoryBootstrapSource;
import org.gentianslip.load.call.HttpClients;
import org.gentianslip.load.report.LoadReport;
import org.gentianslip.load.report.LoadReportWriter;
import org.gentianslip.load.run.CallerGroup;
import org.gentianslip.load.run.LoadPlan;
import org.gentianslip.load.run.LoadRun;
import org.gentianslip.load.work.Workload;
import picocli.CommandLine;

/**
 * The entry point of the {@code gentian-demo} command line.
 *
 * <p>Exits with code 1 if the outcome of any call is unknown or wrong. Not thread-safe.
 */
@CommandLine.Command(
    name = "gentian-demo",
    mixinStandardHelpOptions = true,
    versionProvider = DemoMain.Version.class,
    sortOptions = false,
    subcommands = {OverheadCommand.class, ControlCommand.class},
    description = "Starts a fleet on loopback, sends it a mix of calls and checks the outcomes.")
public final class DemoMain implements Callable<Integer> {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double PEAK_REGION_WEIGHT = 3;
  private static final int CONCURRENCY_LIMIT = 1_000;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

  @CommandLine.Option(
      names = "--fleet",
      defaultValue = "qadri",
      description = "The fleet: qadri or venture (default: ${DEFAULT-VALUE}).")
  private String fleet;

  @CommandLine.Option(
      names = "--seconds",
      defaultValue = "10",
      description = "How long calls arrive (default: ${DEFAULT-VALUE}).")
  private long seconds;

  @CommandLine.Option(
      names = "--rate",
      defaultValue = "40",
      description = "Calls a second over all regions (default: ${DEFAULT-VALUE}).")
  private double rate;

  @CommandLine.Option(
      names = "--seed",
      defaultValue = "1",
      description = "The seed of arrivals and calls (default: ${DEFAULT-VALUE}).")
  private long seed;

  @CommandLine.Option(
      names = "--base-port",
      defaultValue = "18000",
      description = "The first of about a hundred ports in use (default: ${DEFAULT-VALUE}).")
  private int basePort;

  @CommandLine.Option(
      names = "--keep",
      description = "Leave the fleet running until interrupted, and print commands to call it.")
  private boolean keep;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new DemoMain()).execute(args));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    FleetPlan plan = plan();
    PrintWriter out = spec.commandLine().getOut();
    out.println("Starting the fleet " + fleet + ".");
    out.flush();
    try (Fleet runningFleet = Fleet.start(plan)) {
      DemoResult result = sendCalls(runningFleet);
      out.println(LoadReportWriter.table(result.report()));
      result.faults().forEach(out::println);
      if (keep) {
        out.println(CurlCommands.format(runningFleet, plan, Workload.named(fleet)));
        out.println(result.summaryLine());
        out.flush();
        new CountDownLatch(1).await();
      }
      out.println(result.summaryLine());
      out.flush();
      return result.isSuccessful() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
  }

  private FleetPlan plan() {
    try {
      if (seconds < 1) {
        throw new IllegalArgumentException("seconds must be at least 1, but is " + seconds);
      }
      if (!(rate > 0)) {
        throw new IllegalArgumentException("rate must be above 0, but is " + rate);
      }
      return FleetPlan.named(fleet).withBasePort(basePort);
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
    }
  }

  private DemoResult sendCalls(Fleet runningFleet) throws IOException, InterruptedException {
    Queue<CallResult> results = new ConcurrentLinkedQueue<>();
    List<CallerGroup> groups = new ArrayList<>();
    for (RegionPlan region : runningFleet.layout().plan().regions()) {
      groups.add(callerGroup(runningFleet, region, groups.isEmpty() ? PEAK_REGION_WEIGHT : 1));
    }
    LoadPlan plan =
        new LoadPlan(
            groups,
            Workload.named(fleet),
            rate,
            Duration.ofSeconds(seconds),
            seed,
            CONCURRENCY_LIMIT,
            CALL_TIMEOUT);
    logger.atInfo().log("demo: sending calls for %d seconds with seed %d", seconds, seed);
    LoadReport report = new LoadRun(plan, System::nanoTime, results::add).run();
    return DemoResult.of(report, ExecutionCheck.compare(results, runningFleet.executions()));
  }

  private static CallerGroup callerGroup(Fleet runningFleet, RegionPlan region, double weight) {
    DirectoryBootstrapSource bootstrap =
        new DirectoryBootstrapSource(
            HttpClients.forQueries(), runningFleet.configAddress(), region.id());
    return new CallerGroup(
        region.id(), new CachingEntryFinder(HttpClients.forQueries(), bootstrap), weight);
  }

  /** Provides the version in the manifest of the jar, for {@code --version}. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      Package demoPackage = DemoMain.class.getPackage();
      return new String[] {
        "gentian-demo " + Objects.toString(demoPackage.getImplementationVersion(), "dev")
      };
    }
  }
}
