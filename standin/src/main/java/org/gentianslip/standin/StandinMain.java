package org.gentianslip.standin;

import org.gentianslip.standin.command.ConfigCommand;
import org.gentianslip.standin.command.EngineCommand;
import org.gentianslip.standin.command.RelayCommand;
import org.gentianslip.standin.command.ServiceCommand;
import org.gentianslip.standin.command.StandinVersion;
import picocli.CommandLine;

/**
 * The entry point of {@code gentian-standin}. Stateless; the command line is used by one thread.
 */
@CommandLine.Command(
    name = "gentian-standin",
    description = "Stand-ins for the platform and the backend servers.",
    mixinStandardHelpOptions = true,
    versionProvider = StandinVersion.class,
    subcommands = {
      ConfigCommand.class,
      EngineCommand.class,
      ServiceCommand.class,
      RelayCommand.class
    })
public final class StandinMain {

  private StandinMain() {}

  /**
   * Executes the command line and exits with its code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  /** Returns the command line, whose exit codes are 0 for success, 1 for failure, 2 for misuse. */
  static CommandLine commandLine() {
    return new CommandLine(new StandinMain())
        .setExecutionExceptionHandler(
            (e, command, parsed) -> {
              command.getErr().println("standin: " + e.getMessage());
              return 1;
            });
  }
}
