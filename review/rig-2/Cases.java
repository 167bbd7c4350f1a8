import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Runs a case: its record, its temporary folder and its exit code. Stateless. */
final class Cases {

  /** The case could not run. */
  static final int NOT_RUN = 2;

  private Cases() {}

  /** A case. */
  interface Case {

    /**
     * Runs the case; all processes that it starts have ended on return.
     *
     * @param folder a temporary folder
     * @param trouble whether the disruption takes place
     * @return 1 if the rule was broken, 0 if it held, 2 if the case could not run
     */
    int run(Path folder, Record record, boolean trouble) throws IOException, InterruptedException;
  }

  /** Runs a case with its record in a folder, and ends this process with the result. */
  static void run(String recordFolder, Case toRun) throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("gentianslip-review");
    int result = NOT_RUN;
    try (var record = new Record(Path.of(recordFolder).resolve("record.txt"))) {
      record.line("trouble: %s", trouble);
      try {
        result = toRun.run(folder, record, trouble);
      } catch (IOException | InterruptedException | RuntimeException e) {
        record.line("the case could not run: %s", e);
      }
      record.line("result %d", result);
    } finally {
      delete(folder);
    }
    System.exit(result);
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
    }
  }
}
