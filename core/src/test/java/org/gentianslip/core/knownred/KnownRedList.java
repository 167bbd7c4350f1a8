package org.gentianslip.core.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The names of the tests that are known to fail.
 *
 * <p>Each line of the file starts with a name, {@code CLASS#METHOD} or {@code CLASS#METHOD[CASE]},
 * followed by a vertical bar, the command, the observed failure and the issue. Immutable and
 * thread-safe.
 */
final class KnownRedList {

  private static final String FILE = "KNOWN-RED.txt";
  private static final String ROOT_MARKER = ".mvn";

  private final Set<String> names;

  private KnownRedList(Set<String> names) {
    this.names = names;
  }

  /**
   * Reads the list at the root of the checkout that contains a directory; returns an empty list if
   * there is no such file.
   */
  static KnownRedList above(Path start) {
    for (Path directory = start.toAbsolutePath();
        directory != null;
        directory = directory.getParent()) {
      if (Files.isDirectory(directory.resolve(ROOT_MARKER))) {
        Path file = directory.resolve(FILE);
        return Files.exists(file) ? read(file) : new KnownRedList(Set.of());
      }
    }
    return new KnownRedList(Set.of());
  }

  /** Returns whether the test with the given name is listed. */
  boolean contains(String name) {
    return names.contains(name);
  }

  private static KnownRedList read(Path file) {
    try {
      return new KnownRedList(
          Files.readAllLines(file, StandardCharsets.UTF_8).stream()
              .map(line -> line.split("\\|", 2)[0].strip())
              .filter(name -> !name.isEmpty())
              .collect(Collectors.toUnmodifiableSet()));
    } catch (IOException e) {
      throw new UncheckedIOException("Cannot read " + file, e);
    }
  }
}
