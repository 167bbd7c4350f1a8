package org.gentianslip.demo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Compares the names in the code spans of the pages with the Java source.
 *
 * <p>A span that is one name with a capital first and a small letter is the name of a type, with
 * members behind dots or a hash sign. A span that begins with a dot names a member of the type
 * named before it. In longer spans, such as commands, names of at least two humps are types. Names
 * with a hyphen, such as those of headers, and names of capitals only are no types.
 */
class DocumentedNamesTest {

  private static final Path ROOT = Path.of("..");
  private static final int FEWEST_NAMES = 50;

  private static final Pattern FENCED_BLOCK = Pattern.compile("(?ms)^```.*?^```$");
  private static final Pattern CODE_SPAN = Pattern.compile("`([^`]+)`");
  private static final Pattern TYPE =
      Pattern.compile("([A-Z]\\w*[a-z]\\w*(?:[.#]\\w+)*)(?:\\([^()]*\\))?");
  private static final Pattern MEMBER_OF_TYPE_BEFORE =
      Pattern.compile("([.#]\\w+(?:[.#]\\w+)*)(?:\\([^()]*\\))?");
  private static final Pattern TYPE_IN_LONGER_SPAN =
      Pattern.compile("(?<![\\w-])[A-Z]\\w*[a-z]\\w*[A-Z]\\w*(?:[.#]\\w+)*(?![\\w-])");
  private static final Pattern CAMEL_CASE_MEMBER =
      Pattern.compile("([a-z][a-z0-9]*[A-Z]\\w*)(?:\\([^()]*\\))?");
  private static final Pattern TYPE_DECLARATION =
      Pattern.compile(
          "(?m)^\\s*(?:(?:public|protected|private|static|final|abstract|sealed|non-sealed) )*"
              + "(?:class|interface|enum|record) (\\w+)");
  private static final Pattern WORD = Pattern.compile("\\w+");

  private static final Map<String, List<String>> sourcesByType = new HashMap<>();
  private static final Set<String> words = new HashSet<>();

  @BeforeAll
  static void readSources() throws IOException {
    for (Path file : javaFiles()) {
      String source = Files.readString(file);
      Set<String> types = new HashSet<>();
      types.add(file.getFileName().toString().replace(".java", ""));
      TYPE_DECLARATION.matcher(source).results().forEach(found -> types.add(found.group(1)));
      types.forEach(
          type -> sourcesByType.computeIfAbsent(type, k -> new ArrayList<>()).add(source));
      WORD.matcher(source).results().map(MatchResult::group).forEach(words::add);
    }
  }

  @Test
  @DisplayName("the types, methods and tests that the pages name exist in the Java source")
  void documentedTypesExist() throws IOException {
    List<String> missing = new ArrayList<>();
    int names = 0;
    for (Path page : pages()) {
      for (String name : typeNames(page)) {
        names++;
        if (!exists(name)) {
          missing.add(page + ": " + name);
        }
      }
    }
    assertThat(missing, is(empty()));
    assertThat("names found in the pages", names, greaterThan(FEWEST_NAMES));
  }

  @Test
  @DisplayName("members and settings that the pages name without a type occur in the Java source")
  void documentedMembersOccur() throws IOException {
    List<String> missing = new ArrayList<>();
    int names = 0;
    for (Path page : pages()) {
      for (String span : codeSpans(page)) {
        var member = CAMEL_CASE_MEMBER.matcher(span);
        if (!member.matches()) {
          continue;
        }
        names++;
        if (!words.contains(member.group(1))) {
          missing.add(page + ": " + span);
        }
      }
    }
    assertThat(missing, is(empty()));
    assertThat("names found in the pages", names, greaterThan(FEWEST_NAMES));
  }

  private static List<String> typeNames(Path page) throws IOException {
    List<String> names = new ArrayList<>();
    String typeBefore = "";
    for (String span : codeSpans(page)) {
      var type = TYPE.matcher(span);
      var member = MEMBER_OF_TYPE_BEFORE.matcher(span);
      if (type.matches()) {
        names.add(type.group(1));
        typeBefore = parts(type.group(1))[0];
      } else if (member.matches()) {
        names.add(typeBefore + member.group(1));
      } else {
        TYPE_IN_LONGER_SPAN.matcher(span).results().map(MatchResult::group).forEach(names::add);
      }
    }
    return names;
  }

  private static boolean exists(String name) {
    String[] parts = parts(name);
    return sourcesByType.getOrDefault(parts[0], List.of()).stream()
        .anyMatch(source -> declaresAll(source, parts));
  }

  private static boolean declaresAll(String source, String[] parts) {
    return Stream.of(parts).skip(1).allMatch(member -> declares(source, member));
  }

  private static boolean declares(String source, String member) {
    boolean isType =
        TYPE_DECLARATION.matcher(source).results().anyMatch(type -> type.group(1).equals(member));
    Pattern method =
        Pattern.compile(
            "(?m)^ +(?!return |new |throw |else )[\\w<>\\[\\],.?@ ]*[\\w>\\]] " + member + "\\(");
    return isType || method.matcher(source).find();
  }

  private static String[] parts(String name) {
    return name.split("[.#]");
  }

  private static List<String> codeSpans(Path page) throws IOException {
    String text = FENCED_BLOCK.matcher(Files.readString(page)).replaceAll("");
    return CODE_SPAN.matcher(text).results().map(span -> span.group(1)).toList();
  }

  private static List<Path> pages() throws IOException {
    try (Stream<Path> files = Files.walk(ROOT.resolve("docs"))) {
      return files.filter(file -> file.toString().endsWith(".md")).sorted().toList();
    }
  }

  private static List<Path> javaFiles() throws IOException {
    List<Path> found = new ArrayList<>();
    for (Path directory : sourceDirectories()) {
      try (Stream<Path> files = Files.walk(directory)) {
        files.filter(file -> file.toString().endsWith(".java")).forEach(found::add);
      }
    }
    return found;
  }

  private static List<Path> sourceDirectories() throws IOException {
    try (Stream<Path> modules = Files.list(ROOT)) {
      return modules.map(module -> module.resolve("src")).filter(Files::isDirectory).toList();
    }
  }
}
