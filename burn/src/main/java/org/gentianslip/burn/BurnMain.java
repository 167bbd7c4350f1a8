package org.gentianslip.burn;

import picocli.CommandLine;

/** Runs {@code gentian-burn}. Stateless; the command line is read by one thread. */
@CommandLine.Command(
    name = "gentian-burn",
    mixinStandardHelpOptions = true,
    versionProvider = BurnMain.Version.class)
public final class BurnMain implements Runnable {

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new BurnMain()).execute(args));
  }

  @Override
  public void run() {}

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentian-burn "
            + java.util.Objects.toString(
                BurnMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
