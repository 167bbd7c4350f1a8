package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The metrics of routed requests")
class GatewayMetricsTest {

  private static final Pattern HELP = Pattern.compile("# HELP (\\S+) (.*)");
  private static final Pattern TYPE = Pattern.compile("# TYPE (\\S+) (\\S+)");
  private static final Pattern SAMPLE = Pattern.compile("(\\w+?)(?:_bucket)?\\{(.*)} .*");
  private static final Pattern LABEL = Pattern.compile("(\\w+)=\"");

  private static List<String> lines() {
    var metrics = new GatewayMetrics();
    metrics.registerGauges(() -> 0, () -> 0, () -> 0);
    metrics.registerProcessorGauges(() -> 0, () -> 0);
    metrics.registerQuotas(() -> Map.of("maple", new CustomerQuotas.Counts()));
    metrics.registerConfigurationAge(() -> 0);
    metrics.registerReach(() -> 0);
    metrics.registerWireVersion(() -> 0);
    metrics.registerRegionConflicts(() -> 0);
    metrics.countRequest("0", "answered");
    metrics.countRefusal("0", "too-late");
    metrics.countRejection(401, "unknown-key");
    metrics.countAttempt("0", "backend", false);
    metrics.countTakeUp("recorded");
    metrics.countReportCall("runs", "answered");
    metrics.observeResponseTime("0", 1);
    return new String(metrics.text(), StandardCharsets.UTF_8).lines().toList();
  }

  private static Map<String, String> parse(Pattern pattern) {
    Map<String, String> found = new TreeMap<>();
    for (String line : lines()) {
      Matcher matcher = pattern.matcher(line);
      if (matcher.matches()) {
        found.put(matcher.group(1), matcher.group(2));
      }
    }
    return found;
  }

  private static String labels(String sample) {
    var names = new TreeSet<String>();
    LABEL.matcher(sample).results().forEach(r -> names.add(r.group(1)));
    names.remove("le");
    return names.isEmpty() ? "none" : String.join(", ", names);
  }

  @Test
  @DisplayName("match the table in docs/METRICS.md")
  void matchDocumentation() throws IOException {
    Map<String, String> types = parse(TYPE);
    Map<String, String> samples = parse(SAMPLE);
    List<String> expected =
        parse(HELP).entrySet().stream()
            .map(
                h ->
                    String.format(
                        "| %s | `%s` | %s | %s |",
                        types.get(h.getKey()),
                        h.getKey(),
                        labels(samples.getOrDefault(h.getKey(), "")),
                        h.getValue()))
            .toList();
    List<String> documented =
        Files.readAllLines(Path.of("..", "docs", "METRICS.md")).stream()
            .filter(l -> l.contains("| `gentian_gateway_"))
            .toList();
    assertThat(documented, is(expected));
  }

  @Test
  void haveTheirUnitInTheName() {
    assertThat(
        parse(HELP).keySet(),
        everyItem(
            matchesPattern("gentian_gateway_.*_(total|seconds|requests|revision|cores|pairs)")));
  }
}
