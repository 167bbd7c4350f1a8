package org.gentianslip.ctl;

import java.util.Objects;
import org.gentianslip.settings.SettingsReference;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs {@code gentianctl}. The command line is read by one thread. */
@Command(
    name = "gentianctl",
    description = "Checks settings and asks running instances.",
    mixinStandardHelpOptions = true,
    versionProvider = CtlMain.Version.class,
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:done",
      "1:the settings have findings, or an instance did not answer as it should",
      "2:the command line is wrong or a file cannot be read"
    },
    subcommands = {
      SettingsCommand.class,
      StatusCommand.class,
      InForceCommand.class,
      ExplainCommand.class,
      DrainCommand.class
    })
public final class CtlMain implements Runnable {

  private static final int HELP_COLUMNS = 100;

  @Spec private CommandSpec spec;

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  /** Returns the command line with all commands. */
  static CommandLine commandLine() {
    var line = new CommandLine(new CtlMain());
    line.setUsageHelpWidth(HELP_COLUMNS);
    line.setParameterExceptionHandler(CtlMain::printWrongUse);
    line.getSubcommands()
        .get("settings")
        .getCommandSpec()
        .usageMessage()
        .footer(SettingsReference.helpLines().toArray(new String[0]));
    return line;
  }

  private static int printWrongUse(ParameterException e, String[] args) {
    CommandLine command = e.getCommandLine();
    command.getErr().println(e.getMessage());
    command.getErr().printf("Try \"%s --help\".%n", command.getCommandSpec().qualifiedName());
    command.getErr().flush();
    return ExitStatus.WRONG_USE;
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "A command is missing.");
  }

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentianctl "
            + Objects.toString(CtlMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
