package org.gentianslip.load;

import picocli.CommandLine;

/** Runs {@code gentian-load}. Stateless; the command line is read by one thread. */
@CommandLine.Command(
    name = "gentian-load",
    mixinStandardHelpOptions = true,
    versionProvider = LoadMain.Version.class)
public final class LoadMain implements Runnable {

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new LoadMain()).execute(args));
  }

  @Override
  public void run() {}

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentian-load "
            + java.util.Objects.toString(
                LoadMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
