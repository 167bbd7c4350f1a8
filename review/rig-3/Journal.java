import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case. Thread-safe. */
final class Journal implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;

  Journal(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
  }

  /** Returns the milliseconds since the start of the case. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes one line with the time. */
  synchronized void line(String format, Object... values) {
    writer.printf(
        Locale.ROOT, "%9.3f s  %s%n", millis() / 1000.0, String.format(Locale.ROOT, format, values));
  }

  @Override
  public void close() {
    writer.close();
  }
}
