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

/** Shows the values in force for the requests of a branch. Confined to one thread. */
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
  private boolean withOrigin;

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
    SettingsFilesResult result = SettingsFiles.read(files);
    if (!(result instanceof SettingsFilesResult.Valid valid)) {
      return FindingPrinter.printFailure(output, result, json);
    }
    Settings settings = valid.settings();
    Optional<Branch> branch = settings.branch(branchId);
    if (branch.isEmpty()) {
      output.error(
          "There is no branch \"" + branchId + "\"; there are " + branchIds(settings) + ".");
      return ExitStatus.USAGE_ERROR;
    }
    var narrower = new ScopeNarrower(settings, branch.get().scope());
    narrower.narrow(BranchLevel.REGION, region);
    narrower.narrow(BranchLevel.KIND, kind);
    narrower.narrow(BranchLevel.CUSTOMER, customer);
    if (!narrower.errors().isEmpty()) {
      narrower.errors().forEach(output::error);
      return ExitStatus.USAGE_ERROR;
    }
    print(output, narrower.scope(), settings.effective(narrower.scope()));
    return ExitStatus.SUCCESS;
  }

  private static String branchIds(Settings settings) {
    return String.join(", ", settings.branches().stream().map(Branch::id).toList());
  }

  private void print(Output output, Scope scope, EffectiveSettings effective) {
    if (json) {
      ObjectNode body = JsonNodeFactory.instance.objectNode();
      body.put("branch", branchId).put("requests", scope.toString());
      body.set("values", EffectiveSettingsJson.toJson(effective));
      output.json(body);
      return;
    }
    output.line("In force for " + scope + ":");
    tableOf(effective).lines().forEach(output::line);
  }

  private TextTable tableOf(EffectiveSettings effective) {
    TextTable table =
        withOrigin
            ? TextTable.of("SETTING", "VALUE", "UNIT", "ORIGIN")
            : TextTable.of("SETTING", "VALUE", "UNIT");
    for (Setting<?> setting : SettingCatalog.all()) {
      String value = EffectiveSettingsJson.valueToJson(effective, setting).toString();
      if (withOrigin) {
        table.add(setting.name(), value, setting.unit(), effective.origin(setting));
      } else {
        table.add(setting.name(), value, setting.unit());
      }
    }
    return table;
  }
}
