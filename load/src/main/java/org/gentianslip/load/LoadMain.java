package org.gentianslip.load;

import java.util.Objects;
import picocli.CommandLine;

/** Runs {@code gentian-load}. Stateless. */
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
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      Package ours = LoadMain.class.getPackage();
      return new String[] {
        "gentian-load " + Objects.toString(ours.getImplementationVersion(), "dev")
      };
    }
  }
}
