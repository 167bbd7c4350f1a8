import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: a line for each thing that was sent, answered or run. Thread-safe. */
final class Record implements AutoCloseable {

  private final PrintWriter file;
  private final long startNanos = System.nanoTime();

  Record(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
  }

  /** Returns the time since the start, in milliseconds. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a line with the present time. */
  synchronized void line(String format, Object... args) {
    String text = String.format(Locale.ROOT, format, args);
    file.printf(Locale.ROOT, "%8.3f %s%n", millis() / 1_000.0, text);
    file.flush();
  }

  @Override
  public synchronized void close() {
    file.close();
  }
}
