package org.gentianslip.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Documents with very many entries")
class SettingsParserLimitsTest {

  private static final int CHAIN_LENGTH = 10_000;

  /** Returns a firm and a chain of branches, each of which is the parent of the next. */
  private static String[] chain(String firstParent) {
    return IntStream.rangeClosed(0, CHAIN_LENGTH)
        .mapToObj(
            i ->
                i == 0
                    ? Documents.firm("")
                    : Documents.branch(
                        "b" + i, i == 1 ? firstParent : "b" + (i - 1), "kind", "k", ""))
        .toArray(String[]::new);
  }

  private static String[] reversed(String[] branches) {
    return IntStream.range(0, branches.length)
        .mapToObj(i -> branches[branches.length - 1 - i])
        .toArray(String[]::new);
  }

  @Nested
  class WithLongChainOfBranches {

    @Test
    void giveOneFindingForFirstError() {
      SettingsDocument document = Documents.withBranches(reversed(chain("acme")));
      assertThat(Documents.findings(document), hasSize(1));
    }

    @Test
    void giveOneFindingForCycle() {
      SettingsDocument document = Documents.withBranches(reversed(chain("b" + CHAIN_LENGTH)));
      assertThat(Documents.findings(document), hasSize(1));
    }

    @Test
    void giveShortMessageForLongCycle() {
      SettingsDocument document = Documents.withBranches(chain("b" + CHAIN_LENGTH));
      assertThat(Documents.findings(document).get(0).message().length() < 1_000, is(true));
    }
  }

  @Nested
  class WithManyErrors {

    private final List<Finding> findings =
        Documents.findings(
            Documents.of(
                IntStream.range(0, 50_000)
                    .mapToObj(i -> "\"unknown" + i + "\": 1")
                    .collect(Collectors.joining(",", "{", "}"))));

    @Test
    void giveBoundedNumberOfFindings() {
      assertThat(findings, hasSize(FindingCollector.MAX_FINDINGS + 1));
    }

    @Test
    void reportNumberOfOmittedFindings() {
      assertThat(
          findings.get(findings.size() - 1).message(), containsString("49001 more findings"));
    }
  }
}
