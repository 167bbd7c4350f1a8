package org.gentianslip.standin;

import org.gentianslip.standin.command.ConfigCommand;
import org.gentianslip.standin.command.EngineCommand;
import org.gentianslip.standin.command.RelayCommand;
import org.gentianslip.standin.command.ServiceCommand;
import org.gentianslip.standin.command.StandinVersion;
import picocli.CommandLine;

/** Runs {@code gentian-standin}. Stateless; the command line is read by one thread. */
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
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  /** Returns the command line; it gives 0 for success, 1 for a failure and 2 for wrong usage. */
  static CommandLine commandLine() {
    return new CommandLine(new StandinMain())
        .setExecutionExceptionHandler(
            (e, command, parsed) -> {
              command.getErr().println("standin: " + e.getMessage());
              return 1;
            });
  }
}
