package review.rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since the start. */
public final class RunLog implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;

  /** Creates or replaces a record. */
  public RunLog(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start, in milliseconds. */
  public long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Adds a line. */
  public synchronized void add(String format, Object... values) {
    writer.printf("%7d ms  %s%n", millis(), String.format(format, values));
    writer.flush();
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
