package org.gentianslip.bench;

import picocli.CommandLine;

/** Runs {@code gentian-bench}. Stateless; the command line is read by one thread. */
@CommandLine.Command(
    name = "gentian-bench",
    mixinStandardHelpOptions = true,
    versionProvider = BenchMain.Version.class)
public final class BenchMain implements Runnable {

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new BenchMain()).execute(args));
  }

  @Override
  public void run() {}

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentian-bench "
            + java.util.Objects.toString(
                BenchMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
