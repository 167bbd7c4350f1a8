package org.gentianslip.entry;

import picocli.CommandLine;

/** Runs {@code gentian-entry}. Stateless; the command line is read by one thread. */
@CommandLine.Command(
    name = "gentian-entry",
    mixinStandardHelpOptions = true,
    versionProvider = EntryMain.Version.class)
public final class EntryMain implements Runnable {

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new EntryMain()).execute(args));
  }

  @Override
  public void run() {}

  /** Reads the version from the manifest. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentian-entry "
            + java.util.Objects.toString(
                EntryMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
