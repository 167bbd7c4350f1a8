package org.gentianslip.standin;

import picocli.CommandLine;

/** Runs {@code gentian-standin}. Stateless; the command line is read by one thread. */
@CommandLine.Command(
    name = "gentian-standin",
    mixinStandardHelpOptions = true,
    versionProvider = StandinMain.Version.class)
public final class StandinMain implements Runnable {

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new StandinMain()).execute(args));
  }

  @Override
  public void run() {}

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentian-standin "
            + java.util.Objects.toString(
                StandinMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
