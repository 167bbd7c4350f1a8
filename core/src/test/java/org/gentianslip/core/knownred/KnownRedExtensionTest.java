package org.gentianslip.core.knownred;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.opentest4j.TestAbortedException;

class KnownRedExtensionTest {

  private static final String LISTED = "org.example.SlowTest#isFast[north]";

  private final List<String> printed = new ArrayList<>();
  private KnownRedExtension extension;

  @BeforeEach
  void writeList(@TempDir Path root) throws IOException {
    Files.createDirectory(root.resolve(".mvn"));
    Files.writeString(root.resolve("KNOWN-RED.txt"), LISTED + " | mvn verify | 3 s | issue 1\n");
    Path module = Files.createDirectory(root.resolve("module"));
    extension = new KnownRedExtension(KnownRedList.above(module), printed::add);
  }

  private static Void fail() {
    throw new AssertionError("seen");
  }

  @Test
  void abortsListedTestsThatFail() {
    assertThrows(
        TestAbortedException.class, () -> extension.proceed(KnownRedExtensionTest::fail, LISTED));
  }

  @Test
  void failsListedTestsThatPass() {
    assertThrows(AssertionError.class, () -> extension.proceed(() -> null, LISTED));
  }

  @Test
  void letsOtherTestsFail() {
    assertThrows(
        AssertionError.class,
        () -> extension.proceed(KnownRedExtensionTest::fail, "org.example.SlowTest#isFast"));
  }

  @Test
  void letsOtherTestsPass() {
    assertDoesNotThrow(() -> extension.proceed(() -> null, "org.example.OtherTest#works"));
  }
}
