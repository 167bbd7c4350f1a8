package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows the differences between two states of the settings. Confined to one thread. */
@Command(
    name = "diff",
    description = "Shows what changes in force, and for which branches.",
    mixinStandardHelpOptions = true)
final class DiffCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(
      index = "0",
      paramLabel = "OLD",
      description = "The state before: a file, or a directory of the parts of one state.")
  private Path before;

  @Parameters(
      index = "1",
      paramLabel = "NEW",
      description = "The state after: a file, or a directory of the parts of one state.")
  private Path after;

  @Option(names = "--json", description = "Prints JSON.")
  private boolean json;

  @Override
  public Integer call() {
    Output output = Output.of(spec);
    SettingsFilesResult resultBefore = SettingsFiles.read(List.of(before));
    if (!(resultBefore instanceof SettingsFilesResult.Valid validBefore)) {
      return FindingPrinter.printFailure(output, resultBefore, json);
    }
    SettingsFilesResult resultAfter = SettingsFiles.read(List.of(after));
    if (!(resultAfter instanceof SettingsFilesResult.Valid validAfter)) {
      return FindingPrinter.printFailure(output, resultAfter, json);
    }
    List<ValueChange> values = SettingsDiff.values(validBefore.settings(), validAfter.settings());
    List<DeclarationChange> declarations =
        SettingsDiff.declarations(validBefore.settings(), validAfter.settings());
    if (json) {
      printJson(output, values, declarations);
    } else {
      printText(output, values, declarations);
    }
    return ExitStatus.SUCCESS;
  }

  private static void printText(
      Output output, List<ValueChange> values, List<DeclarationChange> declarations) {
    if (values.isEmpty() && declarations.isEmpty()) {
      output.line("Nothing changes in force.");
      return;
    }
    for (DeclarationChange change : declarations) {
      output.line(change.change().text() + " " + change.type() + " " + change.id());
    }
    TextTable table = TextTable.of("SETTING", "BEFORE", "AFTER", "BRANCHES");
    for (ValueChange change : values) {
      table.add(
          change.setting(), change.before(), change.after(), String.join(", ", change.branches()));
    }
    if (table.hasRows()) {
      table.lines().forEach(output::line);
    }
  }

  private static void printJson(
      Output output, List<ValueChange> values, List<DeclarationChange> declarations) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode changes = body.putArray("values");
    for (ValueChange change : values) {
      ObjectNode node = changes.addObject().put("setting", change.setting());
      node.set("before", change.before());
      node.set("after", change.after());
      change.branches().forEach(node.putArray("branches")::add);
    }
    ArrayNode declared = body.putArray("declarations");
    for (DeclarationChange change : declarations) {
      declared
          .addObject()
          .put("change", change.change().text())
          .put("type", change.type())
          .put("id", change.id());
    }
    output.json(body);
  }
}
