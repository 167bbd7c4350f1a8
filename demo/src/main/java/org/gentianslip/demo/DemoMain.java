package org.gentianslip.demo;

import picocli.CommandLine;

/** Runs {@code gentian-demo}. Stateless; the command line is read by one thread. */
@CommandLine.Command(
    name = "gentian-demo",
    mixinStandardHelpOptions = true,
    versionProvider = DemoMain.Version.class)
public final class DemoMain implements Runnable {

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new DemoMain()).execute(args));
  }

  @Override
  public void run() {}

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentian-demo "
            + java.util.Objects.toString(
                DemoMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
