package org.gentianslip.ctl;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Validates files that together are one state of the settings. Confined to one thread. */
@Command(
    name = "check",
    description = "Prints every fault of the files as FILE:/json/pointer: message.",
    mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Parameters(
      arity = "1..*",
      paramLabel = "FILE",
      description = "Parts that together are one state; a directory stands for its .json files.")
  private List<Path> files;

  @Option(names = "--json", description = "Prints JSON.")
  private boolean json;

  @Override
  public Integer call() {
    Output output = Output.of(spec);
    SettingsFilesResult result = SettingsFiles.read(files);
    if (!(result instanceof SettingsFilesResult.Valid)) {
      return FindingPrinter.printFailure(output, result, json);
    }
    if (json) {
      FindingPrinter.print(output, List.of(), true);
    } else {
      output.line("No findings.");
    }
    return ExitStatus.SUCCESS;
  }
}
