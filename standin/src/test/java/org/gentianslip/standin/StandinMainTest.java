package org.gentianslip.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StandinMainTest {

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  @ParameterizedTest
  @ValueSource(strings = {"config", "engine", "service", "relay"})
  void printsHelpOfEverySubcommand(String name) {
    assertThat(run(name, "--help"), is(0));
    assertThat(out.toString(), containsString("--port"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"config", "engine", "service", "relay"})
  void printsVersionOfEverySubcommand(String name) {
    assertThat(run(name, "--version"), is(0));
    assertThat(out.toString(), containsString("gentian-standin"));
  }

  @Test
  void exitsWithTwoOnWrongUsage() {
    assertThat(run("engine", "--slots", "many"), is(2));
  }

  @Test
  void exitsWithOneAndPrintsCauseOnFailure() {
    assertThat(run("relay", "--config", "no-such-file.json"), is(1));
    assertThat(err.toString(), containsString("no-such-file.json"));
  }

  private int run(String... args) {
    return StandinMain.commandLine()
        .setOut(new PrintWriter(out))
        .setErr(new PrintWriter(err))
        .execute(args);
  }
}
