package org.gentianslip.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.gentianslip.core.id.Revision;
import org.gentianslip.settings.ParseResult;
import org.gentianslip.settings.SettingsDocument;
import org.gentianslip.settings.SettingsParser;

/**
 * Reads and validates files that together are one state of the settings.
 *
 * <p>A directory stands for the files in it whose names end in {@code .json}. Stateless and safe
 * for use by several threads.
 */
final class SettingsFiles {

  private SettingsFiles() {}

  /** Reads and validates the files. */
  static SettingsFilesResult read(List<Path> paths) {
    var documents = new ArrayList<SettingsDocument>();
    for (Path path : paths) {
      try {
        for (Path file : expand(path)) {
          documents.add(new SettingsDocument(file.toString(), Files.readAllBytes(file)));
        }
      } catch (NoSuchFileException e) {
        return new SettingsFilesResult.Unreadable("The file " + e.getFile() + " does not exist.");
      } catch (IOException e) {
        return new SettingsFilesResult.Unreadable(
            "The file " + path + " cannot be read: " + e.getMessage() + ".");
      }
    }
    ParseResult result = SettingsParser.parse(Revision.NONE, documents);
    if (result instanceof ParseResult.Accepted accepted) {
      return new SettingsFilesResult.Valid(accepted.settings());
    }
    return new SettingsFilesResult.Invalid(((ParseResult.Rejected) result).findings());
  }

  private static List<Path> expand(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> files = Files.list(path)) {
      return files.filter(f -> f.toString().endsWith(".json")).sorted().toList();
    }
  }
}
