package org.gentianslip.ctl;

import picocli.CommandLine;

/** Runs {@code gentianctl}. Stateless; the command line is read by one thread. */
@CommandLine.Command(
    name = "gentianctl",
    mixinStandardHelpOptions = true,
    versionProvider = CtlMain.Version.class)
public final class CtlMain implements Runnable {

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new CtlMain()).execute(args));
  }

  @Override
  public void run() {}

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentianctl "
            + java.util.Objects.toString(
                CtlMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
