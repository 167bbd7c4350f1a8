package org.gentianslip.load;

import java.util.Objects;
import picocli.CommandLine;

/** The entry point of the {@code gentian-load} command line. Stateless. */
@CommandLine.Command(
    name = "gentian-load",
    mixinStandardHelpOptions = true,
    versionProvider = LoadMain.Version.class,
    description = "Sends an open-loop load through entry instances and checks every answer.",
    subcommands = {RunCommand.class, CompareCommand.class})
public final class LoadMain implements Runnable {

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new LoadMain()).execute(args));
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "missing subcommand: run or compare");
  }

  /** Provides the version in the manifest of the jar, for {@code --version}. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      Package loadPackage = LoadMain.class.getPackage();
      return new String[] {
        "gentian-load " + Objects.toString(loadPackage.getImplementationVersion(), "dev")
      };
    }
  }
}
