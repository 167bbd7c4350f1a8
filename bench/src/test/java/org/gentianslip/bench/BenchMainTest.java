package org.gentianslip.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class BenchMainTest {

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String... args) {
    return new CommandLine(new BenchMain())
        .setOut(new PrintWriter(out))
        .setErr(new PrintWriter(err))
        .execute(args);
  }

  @Test
  void printsTheSameReportForTheSameSeed() {
    String[] args = {"--fleet", "qadri", "--scenario", "half-lost", "--seed", "7"};
    run(args);
    String first = out.toString();
    out.getBuffer().setLength(0);
    run(args);
    assertThat(out.toString(), is(first));
  }

  @Test
  void quotesAnUnknownScenario() {
    int code = run("--scenario", "picnic");
    assertThat(code + err.toString(), startsWith("2There is no scenario \"picnic\""));
  }

  @Test
  void writesPlotsToTheHtmlFile(@TempDir Path directory) throws Exception {
    Path page = directory.resolve("bench.html");
    run("--fleet", "venture", "--scenario", "steady", "--html", page.toString());
    assertThat(Files.readString(page), containsString("<polyline"));
  }

  @Test
  void writesResultsToTheJsonFile(@TempDir Path directory) throws Exception {
    Path file = directory.resolve("bench.json");
    run("--fleet", "venture", "--scenario", "steady", "--json", file.toString());
    assertThat(Files.readString(file), containsString("\"policy\" : \"round-robin\""));
  }
}
