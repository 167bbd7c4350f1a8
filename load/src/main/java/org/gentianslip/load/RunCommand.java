package org.gentianslip.load;

import com.google.common.flogger.FluentLogger;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.call.BootstrapSource;
import org.gentianslip.load.call.CachingEntryFinder;
import org.gentianslip.load.call.DirectoryBootstrapSource;
import org.gentianslip.load.call.EntryAddress;
import org.gentianslip.load.call.HttpClients;
import org.gentianslip.load.report.LoadReport;
import org.gentianslip.load.report.LoadReportWriter;
import org.gentianslip.load.report.ResultRecorder;
import org.gentianslip.load.run.CallerGroup;
import org.gentianslip.load.run.LoadPlan;
import org.gentianslip.load.run.LoadRun;
import org.gentianslip.load.work.Workload;
import picocli.CommandLine;

/**
 * Runs {@code gentian-load run}.
 *
 * <p>Exits with code 1 if any answer is wrong. Not thread-safe.
 */
@CommandLine.Command(
    name = "run",
    mixinStandardHelpOptions = true,
    versionProvider = LoadMain.Version.class,
    sortOptions = false,
    description = "Sends the mix of a fleet at a rate, whatever becomes of earlier calls.")
final class RunCommand implements Callable<Integer> {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int PROGRESS_SECONDS = 2;

  @CommandLine.ArgGroup(multiplicity = "1")
  private EntrySource entrySource;

  @CommandLine.Option(
      names = "--fleet",
      defaultValue = "qadri",
      description = "The mix: qadri or venture (default: ${DEFAULT-VALUE}).")
  private String fleet;

  @CommandLine.Option(
      names = "--region",
      split = ",",
      required = true,
      paramLabel = "REGION",
      description = "The regions of the callers, each with the same share of the calls.")
  private List<String> regions;

  @CommandLine.Option(
      names = "--rate",
      defaultValue = "20",
      description = "Calls a second over all regions (default: ${DEFAULT-VALUE}).")
  private double rate;

  @CommandLine.Option(
      names = "--seconds",
      defaultValue = "10",
      description = "How long calls arrive (default: ${DEFAULT-VALUE}).")
  private double seconds;

  @CommandLine.Option(
      names = "--seed",
      defaultValue = "1",
      description = "The seed of arrivals and calls (default: ${DEFAULT-VALUE}).")
  private long seed;

  @CommandLine.Option(
      names = "--concurrency-limit",
      defaultValue = "2000",
      description =
          "A safety limit on calls in flight; arrivals beyond it are not sent and are reported"
              + " (default: ${DEFAULT-VALUE}).")
  private int concurrencyLimit;

  @CommandLine.Option(
      names = "--timeout-seconds",
      defaultValue = "60",
      description = "The longest time of one exchange (default: ${DEFAULT-VALUE}).")
  private long timeoutSeconds;

  @CommandLine.Option(names = "--json", description = "Print the report as JSON.")
  private boolean json;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** The source of the first entry addresses: given entries or the directory. */
  private static final class EntrySource {
    @CommandLine.Option(
        names = "--entries",
        split = ",",
        paramLabel = "IP:PORT",
        description = "Entries to ask which entries to use.")
    private List<String> entries;

    @CommandLine.Option(
        names = "--directory",
        paramLabel = "IP:PORT",
        description = "The config service that publishes the directory of entries.")
    private String directory;
  }

  @Override
  public Integer call() throws InterruptedException {
    LoadRun run = new LoadRun(plan(), System::nanoTime, result -> {});
    logger.atInfo().log("load: starting with seed %d", seed);
    ScheduledExecutorService progress = Executors.newSingleThreadScheduledExecutor();
    progress.scheduleAtFixedRate(
        () -> printProgress(run.recorder()), PROGRESS_SECONDS, PROGRESS_SECONDS, TimeUnit.SECONDS);
    try {
      LoadReport report = run.run();
      PrintWriter out = spec.commandLine().getOut();
      out.println(json ? LoadReportWriter.json(report) : LoadReportWriter.text(report));
      if (!json) {
        out.println("load: " + LoadReportWriter.totals(report));
      }
      out.flush();
      return report.wrong() > 0 ? CommandLine.ExitCode.SOFTWARE : CommandLine.ExitCode.OK;
    } finally {
      progress.shutdownNow();
    }
  }

  private LoadPlan plan() {
    try {
      List<CallerGroup> groups = new ArrayList<>();
      for (String region : regions) {
        groups.add(callerGroup(RegionId.of(region)));
      }
      return new LoadPlan(
          groups,
          Workload.named(fleet),
          rate,
          Duration.ofNanos((long) (seconds * TimeUnit.SECONDS.toNanos(1))),
          seed,
          concurrencyLimit,
          Duration.ofSeconds(timeoutSeconds));
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
    }
  }

  private CallerGroup callerGroup(RegionId region) {
    OkHttpClient client = HttpClients.forQueries();
    BootstrapSource bootstrap =
        entrySource.directory != null
            ? new DirectoryBootstrapSource(client, entrySource.directory, region)
            : BootstrapSource.fixed(
                entrySource.entries.stream()
                    .map(address -> new EntryAddress(InstanceId.of(address), region, address))
                    .toList());
    return new CallerGroup(region, new CachingEntryFinder(client, bootstrap), 1);
  }

  private void printProgress(ResultRecorder recorder) {
    PrintWriter err = spec.commandLine().getErr();
    err.println("load: so far " + LoadReportWriter.totals(recorder.report()));
    err.flush();
  }
}
