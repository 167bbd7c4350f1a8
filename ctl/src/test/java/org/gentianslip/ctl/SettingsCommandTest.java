package org.gentianslip.ctl;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.settings.EffectiveSettingsJson;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsCommandTest {

  private static final String QADRI = Path.of("..", "examples", "qadri.json").toString();
  private static final CommandRun NO_FINDINGS = new CommandRun(0, "No findings.\n", "");

  @TempDir private Path directory;

  private String edited(String from, String to) throws IOException {
    Path file = directory.resolve("edited.json");
    Files.writeString(file, Files.readString(Path.of(QADRI)).replace(from, to));
    return file.toString();
  }

  private static JsonNode json(CommandRun run) throws IOException {
    return new ObjectMapper().readTree(run.out());
  }

  @Nested
  class Check {

    @ParameterizedTest
    @ValueSource(strings = {"qadri.json", "venture.json"})
    void acceptsEachExample(String name) {
      String file = Path.of("..", "examples", name).toString();
      assertThat(CommandRun.of("settings", "check", file), is(NO_FINDINGS));
    }

    @Test
    void readsFilesTogetherAsOneState() throws IOException {
      List<String> parts = parts();
      assertThat(CommandRun.of("settings", "check", parts.get(0), parts.get(1)), is(NO_FINDINGS));
    }

    @Test
    void readsDirectoryAsTheFilesInIt() throws IOException {
      parts();
      assertThat(CommandRun.of("settings", "check", directory.toString()), is(NO_FINDINGS));
    }

    @Test
    void findsWhatAnotherPartWouldDeclare() throws IOException {
      assertThat(CommandRun.of("settings", "check", parts().get(0)).exitCode(), is(1));
    }

    /** Splits the example into its branches and all the rest. */
    private List<String> parts() throws IOException {
      var mapper = new ObjectMapper();
      var rest = (ObjectNode) mapper.readTree(Path.of(QADRI).toFile());
      var branches = mapper.createObjectNode();
      branches.set("branches", rest.remove("branches"));
      Path first = directory.resolve("first.json");
      Path second = directory.resolve("second.json");
      mapper.writeValue(first.toFile(), branches);
      mapper.writeValue(second.toFile(), rest);
      return List.of(first.toString(), second.toString());
    }

    @Test
    void failsOnFindings() throws IOException {
      String file = edited("deadlineMillis", "deadlineMilis");
      assertThat(CommandRun.of("settings", "check", file).exitCode(), is(1));
    }

    @Test
    void printsFilePointerAndMessage() throws IOException {
      String file = edited("\"spillChargeMillis\": 150", "\"spillChargeMillis\": -1");
      assertThat(
          CommandRun.of("settings", "check", file).out().strip(),
          is(
              file
                  + ":/branches/0/values/spillChargeMillis: spillChargeMillis must be a whole"
                  + " number from 0 to 3600000, but is -1"));
    }

    @Test
    void printsFindingsAsJson() throws IOException {
      String file = edited("\"spillChargeMillis\": 150", "\"spillChargeMillis\": -1");
      JsonNode body = json(CommandRun.of("settings", "check", file, "--json"));
      assertThat(
          body.at("/findings/0/pointer").textValue(), is("/branches/0/values/spillChargeMillis"));
    }

    @Test
    void tellsThatFileIsMissing() {
      CommandRun run = CommandRun.of("settings", "check", "missing.json");
      assertThat(run, is(new CommandRun(2, "", "The file missing.json does not exist.\n")));
    }

    @Test
    void needsFile() {
      assertThat(CommandRun.of("settings", "check").exitCode(), is(2));
    }
  }

  @Nested
  class Show {

    @Test
    void namesTheOrigin() {
      CommandRun run = CommandRun.of("settings", "show", "qadri.archive", QADRI, "--origin");
      assertThat(
          run.out().lines().filter(l -> l.startsWith("allowedRegions")).toList().get(0),
          matchesPattern("allowedRegions +\\[\"pk-north\"] +qadri.archive"));
    }

    @Test
    void leavesTheOriginOutUnlessAsked() {
      CommandRun run = CommandRun.of("settings", "show", "qadri.archive", QADRI);
      assertThat(run.out(), not(containsString("ORIGIN")));
    }

    @Test
    void fitsOneHundredColumns() {
      CommandRun run = CommandRun.of("settings", "show", "qadri.archive", QADRI, "--origin");
      assertThat(run.out().lines().map(String::length).toList(), everyItem(lessThanOrEqualTo(100)));
    }

    @Test
    void agreesWithWhatRequestsGet() throws IOException {
      var result = (FileResult.Valid) SettingsFiles.read(List.of(Path.of(QADRI)));
      var effective =
          result
              .settings()
              .effective(
                  CustomerId.of("lahore-shops"),
                  RegionId.of("pk-north"),
                  KindId.of("party-summary"));
      CommandRun run =
          CommandRun.of(
              "settings",
              "show",
              "qadri.shops",
              QADRI,
              "--region=pk-north",
              "--kind=party-summary",
              "--json");
      assertThat(
          json(run).path("values").toString(),
          is(EffectiveSettingsJson.toJson(effective).toString()));
    }

    @Test
    void namesTheBranchesIfThereIsNoneOfTheId() {
      CommandRun run = CommandRun.of("settings", "show", "qadri.sumary", QADRI);
      assertThat(
          run.err(), allOf(containsString("\"qadri.sumary\""), containsString("qadri.summary")));
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"--region=graz", "--kind=nothing", "--customer=nobody", "--region=pk-south"})
    void refusesNamesThatDoNotFitTheBranch(String option) {
      assertThat(CommandRun.of("settings", "show", "qadri.north", QADRI, option).exitCode(), is(2));
    }

    @Test
    void failsOnFindings() throws IOException {
      String file = edited("deadlineMillis", "deadlineMilis");
      assertThat(CommandRun.of("settings", "show", "qadri", file).exitCode(), is(1));
    }
  }

  @Nested
  class Diff {

    @Test
    void findsNoChangeBetweenEqualStates() {
      CommandRun run = CommandRun.of("settings", "diff", QADRI, QADRI);
      assertThat(run, is(new CommandRun(0, "Nothing changes in force.\n", "")));
    }

    @Test
    void namesTheBranchesThatInheritTheChange() throws IOException {
      String file = edited("\"deadlineMillis\": 30000", "\"deadlineMillis\": 20000");
      JsonNode body = json(CommandRun.of("settings", "diff", QADRI, file, "--json"));
      assertThat(
          body.at("/values/0/branches").toString(),
          is("[\"qadri\",\"qadri.north\",\"qadri.summary\",\"qadri.shops\",\"qadri.archive\"]"));
    }

    @Test
    void ignoresValuesThatOnlyMove() throws IOException {
      String file =
          edited(
              "\"drainTimeoutMillis\": 45000",
              "\"drainTimeoutMillis\": 45000, \"rank\": \"other\"");
      assertThat(
          CommandRun.of("settings", "diff", QADRI, file).out(), is("Nothing changes in force.\n"));
    }

    @Test
    void namesChangedDeclarations() throws IOException {
      String file = edited("\"dispatch-short\"", "\"dispatch-brief\"");
      assertThat(
          CommandRun.of("settings", "diff", QADRI, file).out(),
          is("added model dispatch-brief\nremoved model dispatch-short\n"));
    }

    @Test
    void fitsOneHundredColumns() throws IOException {
      String file = edited("30000", "20000");
      assertThat(
          CommandRun.of("settings", "diff", QADRI, file).out().lines().map(String::length).toList(),
          everyItem(lessThanOrEqualTo(100)));
    }
  }

  @Nested
  class Help {

    @Test
    void listsEverySettingOfTheCatalog() {
      assertThat(
          CommandRun.of("settings", "--help").out(),
          allOf(containsString("\nrank (default \"other\")"), containsString("costPerThousand")));
    }

    @Test
    void pointsToItselfOnWrongUse() {
      assertThat(CommandRun.of("settings").err(), startsWith("Missing required subcommand"));
    }
  }
}
