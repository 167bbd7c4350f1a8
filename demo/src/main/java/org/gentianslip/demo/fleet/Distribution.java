package org.gentianslip.demo.fleet;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The built project: its programs and examples.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param root the project's directory
 */
record Distribution(Path root) {

  private static final Path MARK = Path.of("bin", "launch.sh");

  /**
   * Returns the project that this program was built in.
   *
   * @throws IOException if the program does not lie within a project
   */
  static Distribution find() throws IOException {
    Path at;
    try {
      at = Path.of(Distribution.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    } catch (URISyntaxException e) {
      throw new IOException("the program's place is unknown", e);
    }
    for (Path dir = at; dir != null; dir = dir.getParent()) {
      if (Files.exists(dir.resolve(MARK))) {
        return new Distribution(dir);
      }
    }
    throw new IOException("no directory above " + at + " has " + MARK);
  }

  /** Returns the settings of an example fleet. */
  Path example(String fleet) {
    return root.resolve("examples").resolve(fleet + ".json");
  }

  /**
   * Returns the command that runs a program.
   *
   * @param options options of the virtual machine
   * @throws IOException if the program is not built
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
    throw new IOException("the program " + artifact + " is not built in " + target);
  }
}
