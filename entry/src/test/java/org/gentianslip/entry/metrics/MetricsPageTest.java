package org.gentianslip.entry.metrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.matchesPattern;

import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gentianslip.core.id.Rank;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class MetricsPageTest {

  private static final int CUSTOMERS = 400;
  private static final List<String> OUTCOMES = List.of("completed", "not-run", "unknown");
  private static final Pattern HELP = Pattern.compile("# HELP (\\S+) (.*)");
  private static final Pattern TYPE = Pattern.compile("# TYPE (\\S+) (\\S+)");
  private static final Pattern SAMPLE = Pattern.compile("(\\w+?)(?:_bucket)?\\{(.*)} .*");
  private static final Pattern LABEL = Pattern.compile("(\\w+)=\"");

  private final Map<String, String> help = new TreeMap<>();
  private final Map<String, String> types = new TreeMap<>();
  private final Map<String, Set<String>> labels = new TreeMap<>();

  @Test
  @DisplayName("the table in docs/METRICS.md lists the metrics that the code registers")
  void pageListsTheRegisteredMetrics() throws Exception {
    readMetrics();
    String page = Files.readString(Path.of("..", "docs", "METRICS.md"));
    String table =
        page.lines().filter(line -> line.startsWith("| `")).collect(Collectors.joining("\n"));
    assertThat(table, is(expectedTable()));
  }

  @Test
  void namesEndWithTheirUnits() throws Exception {
    readMetrics();
    assertThat(
        help.keySet(),
        everyItem(matchesPattern("gentian_.*_(total|seconds|requests|revision|bytes|engines)")));
  }

  @Test
  void limitsTheNumberOfSeriesForManyCustomers() {
    var metrics = new EntryMetrics();
    for (int customer = 0; customer < CUSTOMERS; customer++) {
      for (Rank rank : Rank.values()) {
        for (String outcome : OUTCOMES) {
          metrics.recordOutcome(rank, "kind", "region", "customer-" + customer, outcome);
        }
      }
    }
    long series =
        new String(metrics.text(), StandardCharsets.UTF_8)
            .lines()
            .filter(line -> line.startsWith("gentian_"))
            .count();
    assertThat(series, is(lessThan(2_000L)));
  }

  private String expectedTable() {
    return help.keySet().stream()
        .map(
            name ->
                String.format(
                    "| `%s` | %s | %s | %s |",
                    name,
                    types.get(name),
                    labels.containsKey(name) ? String.join(", ", labels.get(name)) : "none",
                    help.get(name)))
        .collect(Collectors.joining("\n"));
  }

  private void readMetrics() throws ReflectiveOperationException {
    var metrics = new EntryMetrics();
    for (Method method : recordingMethods()) {
      method.invoke(metrics, arguments(method));
    }
    new String(metrics.text(), StandardCharsets.UTF_8).lines().forEach(this::readLine);
  }

  private static List<Method> recordingMethods() {
    return Stream.of(EntryMetrics.class.getDeclaredMethods())
        .filter(m -> Modifier.isPublic(m.getModifiers()))
        .filter(m -> m.getReturnType() == void.class)
        .sorted(Comparator.comparing(Method::getName))
        .toList();
  }

  private static Object[] arguments(Method method) {
    return Stream.of(method.getParameterTypes()).map(MetricsPageTest::argument).toArray();
  }

  private static Object argument(Class<?> parameterType) {
    if (parameterType == int.class) {
      return 1;
    }
    if (parameterType == long.class) {
      return 1L;
    }
    if (parameterType == double.class) {
      return 1.0;
    }
    if (parameterType == boolean.class) {
      return true;
    }
    return parameterType == Rank.class ? Rank.URGENT : "x";
  }

  private void readLine(String line) {
    Matcher helpLine = HELP.matcher(line);
    if (helpLine.matches()) {
      help.put(helpLine.group(1), helpLine.group(2));
    }
    Matcher typeLine = TYPE.matcher(line);
    if (typeLine.matches()) {
      types.put(typeLine.group(1), typeLine.group(2));
    }
    Matcher sample = SAMPLE.matcher(line);
    if (sample.matches()) {
      Set<String> names = new LinkedHashSet<>();
      LABEL.matcher(sample.group(2)).results().map(r -> r.group(1)).forEach(names::add);
      names.remove("le");
      labels.putIfAbsent(sample.group(1), names);
    }
  }
}
