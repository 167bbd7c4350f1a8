package org.gentianslip.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.concurrent.Callable;
import org.gentianslip.entry.process.EntryConfig;
import org.gentianslip.entry.process.EntryProcess;
import org.gentianslip.entry.process.InvalidEntryConfigException;
import picocli.CommandLine;
import sun.misc.Signal;

/**
 * The command {@code gentian-entry}, which runs one instance. The command line is parsed by one
 * thread.
 */
@CommandLine.Command(
    name = "gentian-entry",
    description = "Serves callers of one data centre.",
    mixinStandardHelpOptions = true,
    versionProvider = EntryMain.Version.class)
public final class EntryMain implements Callable<Integer> {

  @CommandLine.Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "The JSON file with the configuration of this instance.")
  private Path configFile;

  /**
   * Runs the command.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new EntryMain()).execute(args));
  }

  @Override
  public Integer call() throws InterruptedException {
    EntryConfig entryConfig;
    try {
      entryConfig = EntryConfig.parse(Files.readAllBytes(configFile));
    } catch (InvalidEntryConfigException e) {
      e.findings().forEach(f -> System.err.println(configFile + ":" + f));
      return CommandLine.ExitCode.SOFTWARE;
    } catch (IOException e) {
      System.err.println(configFile + ": cannot be read: " + e.getMessage());
      return CommandLine.ExitCode.SOFTWARE;
    }
    EntryProcess process;
    try {
      process = EntryProcess.start(entryConfig);
    } catch (UncheckedIOException e) {
      System.err.println("entry: " + e.getMessage());
      return CommandLine.ExitCode.SOFTWARE;
    }
    Signal.handle(new Signal("TERM"), s -> new Thread(process::drainAndClose, "drain").start());
    System.out.println(
        "entry: ready for callers on " + entryConfig.host() + ":" + entryConfig.callerPort());
    process.awaitClosed();
    return CommandLine.ExitCode.OK;
  }

  /** Provides the version from the manifest of the JAR. Stateless. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {
        "gentian-entry "
            + Objects.toString(EntryMain.class.getPackage().getImplementationVersion(), "dev")
      };
    }
  }
}
