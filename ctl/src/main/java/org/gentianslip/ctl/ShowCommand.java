package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.gentianslip.settings.Branch;
import org.gentianslip.settings.BranchLevel;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.EffectiveSettingsJson;
import org.gentianslip.settings.Scope;
import org.gentianslip.settings.Setting;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows the values in force for the requests of a branch. Used by one thread. */
@Command(
    name = "show",
    description = "Shows the values in force for the requests that a branch matches.",
    mixinStandardHelpOptions = true)
final class ShowCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(index = "0", paramLabel = "BRANCH", description = "The id of the branch.")
  private String branchId;

  @Parameters(
      index = "1..*",
      arity = "1..*",
      paramLabel = "FILE",
      description = "Parts that together are one state; a directory stands for its .json files.")
  private List<Path> files;

  @Option(names = "--origin", description = "Shows which branch sets each value.")
  private boolean origin;

  @Option(names = "--region", description = "Narrows the requests to a region.")
  private String region;

  @Option(names = "--kind", description = "Narrows the requests to a kind of work.")
  private String kind;

  @Option(names = "--customer", description = "Narrows the requests to a customer.")
  private String customer;

  @Option(names = "--json", description = "Prints JSON, always with the origins.")
  private boolean json;

  @Override
  public Integer call() {
    Output output = Output.of(spec);
    FileResult result = SettingsFiles.read(files);
    if (!(result instanceof FileResult.Valid valid)) {
      return FindingPrinter.fail(output, result, json);
    }
    Settings settings = valid.settings();
    Optional<Branch> branch = settings.branch(branchId);
    if (branch.isEmpty()) {
      output.error(
          "There is no branch \"" + branchId + "\"; there are " + branchIds(settings) + ".");
      return ExitStatus.WRONG_USE;
    }
    var narrowing = new ScopeNarrowing(settings, branch.get().scope());
    narrowing.to(BranchLevel.REGION, region);
    narrowing.to(BranchLevel.KIND, kind);
    narrowing.to(BranchLevel.CUSTOMER, customer);
    if (!narrowing.errors().isEmpty()) {
      narrowing.errors().forEach(output::error);
      return ExitStatus.WRONG_USE;
    }
    show(output, narrowing.scope(), settings.effective(narrowing.scope()));
    return ExitStatus.DONE;
  }

  private static String branchIds(Settings settings) {
    return String.join(", ", settings.branches().stream().map(Branch::id).toList());
  }

  private void show(Output output, Scope scope, EffectiveSettings effective) {
    if (json) {
      ObjectNode body = JsonNodeFactory.instance.objectNode();
      body.put("branch", branchId).put("requests", scope.toString());
      body.set("values", EffectiveSettingsJson.toJson(effective));
      output.json(body);
      return;
    }
    output.line("In force for " + scope + ":");
    table(effective).lines().forEach(output::line);
  }

  private TextTable table(EffectiveSettings effective) {
    TextTable table =
        origin
            ? TextTable.of("SETTING", "VALUE", "UNIT", "ORIGIN")
            : TextTable.of("SETTING", "VALUE", "UNIT");
    for (Setting<?> setting : SettingCatalog.all()) {
      String value = EffectiveSettingsJson.value(effective, setting).toString();
      if (origin) {
        table.add(setting.name(), value, setting.unit(), effective.origin(setting));
      } else {
        table.add(setting.name(), value, setting.unit());
      }
    }
    return table;
  }
}
