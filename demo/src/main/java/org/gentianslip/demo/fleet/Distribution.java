package org.gentianslip.demo.fleet;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The built project, with its executable jars and example settings.
 *
 * <p>Immutable and thread-safe.
 *
 * @param root the root directory of the project
 */
record Distribution(Path root) {

  private static final Path ROOT_MARKER = Path.of("bin", "launch.sh");

  /**
   * Finds the project in which this class was built.
   *
   * @throws IOException if the class was not loaded from within a project
   */
  static Distribution find() throws IOException {
    Path codeLocation;
    try {
      codeLocation =
          Path.of(Distribution.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    } catch (URISyntaxException e) {
      throw new IOException("cannot determine the location of the demo program", e);
    }
    for (Path directory = codeLocation; directory != null; directory = directory.getParent()) {
      if (Files.exists(directory.resolve(ROOT_MARKER))) {
        return new Distribution(directory);
      }
    }
    throw new IOException("no directory above " + codeLocation + " contains " + ROOT_MARKER);
  }

  /** Returns the file with the settings of an example fleet. */
  Path example(String fleet) {
    return root.resolve("examples").resolve(fleet + ".json");
  }

  /**
   * Returns the command line that runs a program.
   *
   * @param options the options of the Java virtual machine
   * @throws IOException if the jar of the program has not been built
   */
  List<String> command(String module, String artifact, List<String> options) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    command.add("-jar");
    command.add(jar(module, artifact).toString());
    return command;
  }

  private Path jar(String module, String artifact) throws IOException {
    Path target = root.resolve(module).resolve("target");
    if (Files.isDirectory(target)) {
      try (DirectoryStream<Path> jars = Files.newDirectoryStream(target, artifact + "-*-all.jar")) {
        for (Path jar : jars) {
          return jar;
        }
      }
    }
    throw new IOException("no jar of " + artifact + " has been built in " + target);
  }
}
