package org.gentianslip.bench.micro;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.Revision;
import org.gentianslip.settings.ParseResult;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;
import org.gentianslip.settings.SettingsDocument;
import org.gentianslip.settings.SettingsParser;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures how long looking up the effective value of a setting for a request takes. Not
 * thread-safe.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class SettingsBenchmark {

  private static final RegionId REGION = RegionId.of("north");
  private static final KindId KIND = KindId.of("summary");

  /** The number of customers, each with a branch of its own. */
  @Param({"10", "400"})
  public int customers;

  private CustomerId[] ids;
  private Settings settings;
  private int next;

  /** Parses the settings. */
  @Setup
  public void prepare() {
    ids =
        IntStream.range(0, customers)
            .mapToObj(i -> CustomerId.of("c" + i))
            .toArray(CustomerId[]::new);
    String json = json();
    var document = new SettingsDocument("bench.json", json.getBytes(StandardCharsets.UTF_8));
    ParseResult result = SettingsParser.parse(Revision.of(1), List.of(document));
    if (!(result instanceof ParseResult.Accepted accepted)) {
      throw new IllegalStateException("The settings of the benchmark were rejected: " + result);
    }
    settings = accepted.settings();
  }

  /** Looks up the value of one setting. */
  @Benchmark
  public Object lookUp() {
    CustomerId customer = ids[next];
    next = next + 1 == ids.length ? 0 : next + 1;
    return settings.effective(customer, REGION, KIND).get(SettingCatalog.CUSTOMER_WEIGHT);
  }

  private String json() {
    String declared =
        IntStream.range(0, customers)
            .mapToObj(
                i ->
                    "{\"id\": \"c%d\", \"firm\": \"firm\", \"keySha256\": \"%064x\"}"
                        .formatted(i, i))
            .collect(Collectors.joining(", "));
    String branches =
        IntStream.range(0, customers)
            .mapToObj(
                i ->
                    (", {\"id\": \"firm.c%d\", \"parent\": \"firm\", \"level\": \"customer\","
                            + " \"name\": \"c%d\", \"values\": {\"customerWeight\": %d}}")
                        .formatted(i, i, 1 + i % 9))
            .collect(Collectors.joining());
    return "{\"regions\": [{\"id\": \"north\", \"dataCentres\": [\"north-1\"]}],"
        + " \"models\": [\"summary\"],"
        + (" \"customers\": [" + declared + "],")
        + " \"branches\": [{\"id\": \"firm\", \"level\": \"firm\", \"name\": \"firm\","
        + " \"values\": {}},"
        + " {\"id\": \"firm.summary\", \"parent\": \"firm\", \"level\": \"kind\","
        + " \"name\": \"summary\", \"values\": {}}"
        + branches
        + "]}";
  }
}
