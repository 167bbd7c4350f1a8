package org.gentianslip.demo;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.FleetPlan;
import org.gentianslip.demo.fleet.RegionPlan;
import picocli.CommandLine;

/**
 * Runs {@code gentian-demo control}, which measures the cost of control traffic.
 *
 * <p>Not thread-safe.
 */
@CommandLine.Command(
    name = "control",
    mixinStandardHelpOptions = true,
    versionProvider = DemoMain.Version.class,
    sortOptions = false,
    description =
        "Starts fleets of idle entries in three regions and measures their cost of control.")
final class ControlCommand implements Callable<Integer> {

  private static final List<String> REGIONS = List.of("pk-central", "pk-south", "pk-north");
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PERCENT = 100;
  private static final double BYTES_PER_MEGABYTE = 1 << 20;

  @CommandLine.Option(
      names = "--entries",
      defaultValue = "8,32",
      split = ",",
      description = "Numbers of entries, one fleet after another (default: ${DEFAULT-VALUE}).")
  private List<Integer> entries;

  @CommandLine.Option(
      names = "--engines",
      defaultValue = "1",
      description = "Model engines of each region (default: ${DEFAULT-VALUE}).")
  private int engines;

  @CommandLine.Option(
      names = "--warm-up-seconds",
      defaultValue = "20",
      description = "The time before the measurement (default: ${DEFAULT-VALUE}).")
  private long warmUpSeconds;

  @CommandLine.Option(
      names = "--seconds",
      defaultValue = "30",
      description = "The time of the measurement (default: ${DEFAULT-VALUE}).")
  private long seconds;

  @CommandLine.Option(
      names = "--entry-heap",
      defaultValue = "64m",
      description = "The heap of an entry (default: ${DEFAULT-VALUE}).")
  private String entryHeap;

  @CommandLine.Option(
      names = "--base-port",
      defaultValue = "18000",
      description = "The first port in use (default: ${DEFAULT-VALUE}).")
  private int basePort;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    PrintWriter out = spec.commandLine().getOut();
    out.println(
        "entries  bytes/s a node  messages/s a node  core percent  MB mean  MB max  calls/s");
    out.flush();
    for (int entryCount : entries) {
      out.println(measure(entryCount));
      out.flush();
    }
    return CommandLine.ExitCode.OK;
  }

  private String measure(int entryCount) throws IOException, InterruptedException {
    try (Fleet fleet = Fleet.start(plan(entryCount))) {
      TimeUnit.SECONDS.sleep(warmUpSeconds);
      ControlCostSample before = ControlCostSample.take(System.nanoTime(), fleet);
      TimeUnit.SECONDS.sleep(seconds);
      return formatRow(before, ControlCostSample.take(System.nanoTime(), fleet));
    }
  }

  private FleetPlan plan(int entryCount) {
    RegionPlan[] regions = new RegionPlan[REGIONS.size()];
    for (int i = 0; i < regions.length; i++) {
      int regionEntries = entryCount / regions.length + (i < entryCount % regions.length ? 1 : 0);
      regions[i] = RegionPlan.of(REGIONS.get(i), regionEntries, engines, 0);
    }
    return FleetPlan.named("qadri")
        .withBasePort(basePort)
        .withEntryHeap(entryHeap)
        .withRegions(regions);
  }

  private static String formatRow(ControlCostSample before, ControlCostSample after) {
    double elapsedSeconds = (after.atNanos() - before.atNanos()) / NANOS_PER_SECOND;
    double nodeSeconds = elapsedSeconds * after.instanceCount();
    return String.format(
        Locale.ROOT,
        "%7d %15.0f %18.2f %13.2f %8.0f %7.0f %8.2f",
        after.instanceCount(),
        (after.bytes() - before.bytes()) / nodeSeconds,
        (after.messages() - before.messages()) / nodeSeconds,
        PERCENT
            * (after.processorNanos() - before.processorNanos())
            / NANOS_PER_SECOND
            / nodeSeconds,
        after.meanResidentBytes() / BYTES_PER_MEGABYTE,
        after.maxResidentBytes() / BYTES_PER_MEGABYTE,
        (after.configCalls() - before.configCalls()) / elapsedSeconds);
  }
}
