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
import org.gentianslip.burn.metric.Accumulator;
import org.gentianslip.burn.objective.Objective;
import org.gentianslip.burn.objective.ObjectiveReader;
import org.gentianslip.burn.report.BurnReport;
import org.gentianslip.burn.report.HtmlReport;
import org.gentianslip.burn.report.JsonReport;
import org.gentianslip.burn.report.TextReport;
import org.gentianslip.burn.source.HttpReader;
import org.gentianslip.burn.source.Platform;
import org.gentianslip.burn.source.Scraper;
import org.gentianslip.burn.source.Target;
import org.gentianslip.burn.window.History;
import org.gentianslip.burn.window.RatePoint;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.settings.Region;
import org.gentianslip.settings.Settings;
import picocli.CommandLine;

/**
 * Runs {@code gentian-burn}.
 *
 * <p>Exits with 1 if an objective burns fast. The command line is read by one thread.
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
    History history = history();
    try {
      BurnReport report = observe(history);
      PrintWriter out = spec.commandLine().getOut();
      out.println(json ? JsonReport.text(report) : TextReport.text(report));
      out.flush();
      if (html != null) {
        Files.writeString(html, HtmlReport.text(report));
      }
      return report.hasFastBurn() ? CommandLine.ExitCode.SOFTWARE : CommandLine.ExitCode.OK;
    } catch (IOException e) {
      spec.commandLine().getErr().println("gentian-burn: " + e.getMessage());
      return CommandLine.ExitCode.SOFTWARE;
    }
  }

  private History history() {
    try {
      if (seconds < 1 || intervalSeconds < 1) {
        throw new IllegalArgumentException(
            "seconds and interval must be at least 1, but are %d and %d"
                .formatted(seconds, intervalSeconds));
      }
      return new History(windows.stream().map(Duration::ofSeconds).toList());
    } catch (IllegalArgumentException e) {
      throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
    }
  }

  private BurnReport observe(History history) throws IOException, InterruptedException {
    HttpReader reader = new HttpReader(READ_TIMEOUT);
    Platform platform = new Platform(reader, configService);
    Settings settings = platform.settings();
    List<RegionId> regions = settings.regions().stream().map(Region::id).toList();
    List<Target> targets = platform.targets(regions.get(0));
    logger.atInfo().log("burn: reading %d instances for %d seconds", targets.size(), seconds);
    Accumulator accumulator = new Accumulator();
    Scraper scraper = new Scraper(reader);
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

  private static BurnReport report(Settings settings, History history, List<String> unreachable) {
    List<Objective> objectives = ObjectiveReader.read(settings);
    Map<String, List<RatePoint>> rates = new HashMap<>();
    objectives.forEach(objective -> rates.put(objective.name(), history.rates(objective)));
    return new BurnReport(
        settings.revision().value(), history.burns(objectives), rates, unreachable);
  }

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      Package ours = BurnMain.class.getPackage();
      return new String[] {
        "gentian-burn " + Objects.toString(ours.getImplementationVersion(), "dev")
      };
    }
  }
}
