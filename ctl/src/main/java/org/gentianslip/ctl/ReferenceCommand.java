package org.gentianslip.ctl;

import java.util.concurrent.Callable;
import org.gentianslip.settings.SettingsReference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints the reference of all settings. Confined to one thread. */
@Command(
    name = "reference",
    description = "Prints the page docs/SETTINGS.md.",
    mixinStandardHelpOptions = true)
final class ReferenceCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    Output.of(spec).line(SettingsReference.markdown().stripTrailing());
    return ExitStatus.SUCCESS;
  }
}
