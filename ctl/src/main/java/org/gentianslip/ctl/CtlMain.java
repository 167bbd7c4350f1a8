package org.gentianslip.ctl;

import java.util.Objects;
import org.gentianslip.settings.SettingsReference;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The entry point of {@code gentianctl}. Confined to one thread. */
@Command(
    name = "gentianctl",
    description = "Checks settings and queries running instances.",
    mixinStandardHelpOptions = true,
    versionProvider = CtlMain.Version.class,
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:done",
      "1:the settings have findings, or an instance failed or could not be reached",
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

  private static final int HELP_WIDTH = 100;

  @Spec private CommandSpec spec;

  /**
   * Executes the command line and exits with its code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  /** Returns the command line with all subcommands. */
  static CommandLine commandLine() {
    var line = new CommandLine(new CtlMain());
    line.setUsageHelpWidth(HELP_WIDTH);
    line.setParameterExceptionHandler(CtlMain::printUsageError);
    line.getSubcommands()
        .get("settings")
        .getCommandSpec()
        .usageMessage()
        .footer(SettingsReference.helpLines().toArray(new String[0]));
    return line;
  }

  private static int printUsageError(ParameterException e, String[] args) {
    CommandLine command = e.getCommandLine();
    command.getErr().println(e.getMessage());
    command.getErr().printf("Try \"%s --help\".%n", command.getCommandSpec().qualifiedName());
    command.getErr().flush();
    return ExitStatus.USAGE_ERROR;
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "A command is missing.");
  }

  /** Reads the version from the manifest of the jar. Stateless. */
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
