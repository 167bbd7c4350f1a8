package org.gentianslip.burn;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.gentianslip.burn.metric.CounterAccumulator;
import org.gentianslip.burn.objective.Objective;
import org.gentianslip.burn.objective.ObjectiveReader;
import org.gentianslip.burn.report.BurnHtmlReport;
import org.gentianslip.burn.report.BurnJsonReport;
import org.gentianslip.burn.report.BurnReport;
import org.gentianslip.burn.report.BurnTextReport;
import org.gentianslip.burn.source.ConfigServiceClient;
import org.gentianslip.burn.source.HttpFetcher;
import org.gentianslip.burn.source.ScrapeTarget;
import org.gentianslip.burn.source.Scraper;
import org.gentianslip.burn.window.BurnRatePoint;
import org.gentianslip.burn.window.SnapshotHistory;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.settings.Region;
import org.gentianslip.settings.Settings;
import picocli.CommandLine;

/**
 * The entry point of the {@code gentian-burn} command line.
 *
 * <p>Exits with code 1 if an objective burns its error budget fast. Not thread-safe.
 */
@CommandLine.Command(
    name = "gentian-burn",
    mixinStandardHelpOptions = true,
    versionProvider = BurnMain.Version.class,
    sortOptions = false,
    description =
        "Reads the metrics of all instances for a while and reports how fast each service-level"
            + " objective burns its budget, and why.")
public final class BurnMain implements Callable<Integer> {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

  @CommandLine.Option(
      names = "--config-service",
      required = true,
      paramLabel = "IP:PORT",
      description = "The config service, which gives the settings and the instances.")
  private String configService;

  @CommandLine.Option(
      names = "--seconds",
      defaultValue = "30",
      description = "How long metrics are read before the report (default: ${DEFAULT-VALUE}).")
  private long seconds;

  @CommandLine.Option(
      names = "--interval-seconds",
      defaultValue = "2",
      description = "The time between readings (default: ${DEFAULT-VALUE}).")
  private long intervalSeconds;

  @CommandLine.Option(
      names = "--windows",
      split = ",",
      defaultValue = "300,3600,21600",
      paramLabel = "SECONDS",
      description = "The windows; a longer one counts what was read (default: ${DEFAULT-VALUE}).")
  private List<Long> windows;

  @CommandLine.Option(names = "--json", description = "Print the report as JSON.")
  private boolean json;

  @CommandLine.Option(
      names = "--html",
      paramLabel = "FILE",
      description = "Write the report as a page to a file, too.")
  private Path html;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new BurnMain()).execute(args));
  }

  @Override
  public Integer call() throws InterruptedException {
    SnapshotHistory history = history();
    try {
      BurnReport report = observe(history);
      PrintWriter out = spec.commandLine().getOut();
      out.println(json ? BurnJsonReport.text(report) : BurnTextReport.text(report));
      out.flush();
      if (html != null) {
        Files.writeString(html, BurnHtmlReport.text(report));
      }
      return report.hasFastBurn() ? CommandLine.ExitCode.SOFTWARE : CommandLine.ExitCode.OK;
    } catch (IOException e) {
      spec.commandLine().getErr().println("gentian-burn: " + e.getMessage());
      return CommandLine.ExitCode.SOFTWARE;
    }
  }

  private SnapshotHistory history() {
    try {
      if (seconds < 1 || intervalSeconds < 1) {
        throw new IllegalArgumentException(
            "seconds and interval-seconds must be at least 1, but are %d and %d"
                .formatted(seconds, intervalSeconds));
      }
      return new SnapshotHistory(windows.stream().map(Duration::ofSeconds).toList());
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
    }
  }

  private BurnReport observe(SnapshotHistory history) throws IOException, InterruptedException {
    HttpFetcher fetcher = new HttpFetcher(READ_TIMEOUT);
    ConfigServiceClient configServiceClient = new ConfigServiceClient(fetcher, configService);
    Settings settings = configServiceClient.settings();
    List<RegionId> regions = settings.regions().stream().map(Region::id).toList();
    List<ScrapeTarget> targets = configServiceClient.scrapeTargets(regions.get(0));
    logger.atInfo().log(
        "burn: reading the metrics of %d instances for %d seconds", targets.size(), seconds);
    CounterAccumulator accumulator = new CounterAccumulator();
    Scraper scraper = new Scraper(fetcher);
    List<String> unreachable = new ArrayList<>();
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (true) {
      unreachable = scraper.scrape(targets, accumulator);
      history.add(accumulator.snapshot(System.nanoTime()));
      if (System.nanoTime() - endNanos >= 0) {
        return report(settings, history, unreachable);
      }
      TimeUnit.SECONDS.sleep(intervalSeconds);
    }
  }

  private static BurnReport report(
      Settings settings, SnapshotHistory history, List<String> unreachable) {
    List<Objective> objectives = ObjectiveReader.read(settings);
    Map<String, List<BurnRatePoint>> rates = new HashMap<>();
    objectives.forEach(objective -> rates.put(objective.name(), history.rates(objective)));
    return new BurnReport(
        settings.revision().value(), history.burns(objectives), rates, unreachable);
  }

  /** Provides the version in the manifest of the jar, for {@code --version}. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      Package burnPackage = BurnMain.class.getPackage();
      return new String[] {
        "gentian-burn " + Objects.toString(burnPackage.getImplementationVersion(), "dev")
      };
    }
  }
}
