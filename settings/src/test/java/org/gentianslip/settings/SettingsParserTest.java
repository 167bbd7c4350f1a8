package org.gentianslip.settings;

import static org.gentianslip.settings.Documents.branch;
import static org.gentianslip.settings.Documents.firm;
import static org.gentianslip.settings.Documents.withBranches;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsParserTest {

  @Test
  @DisplayName("a file with seven different errors gives seven findings in one run")
  void reportsSevenErrorsInOneRun() throws IOException {
    try (var stream = Objects.requireNonNull(getClass().getResourceAsStream("seven-faults.json"))) {
      var document = new SettingsDocument("seven-faults.json", stream.readAllBytes());
      assertThat(
          pointers(Documents.findings(document)),
          containsInAnyOrder(
              "/customers/0/firm",
              "/branches/0/values/dedlineMillis",
              "/branches/0/values/otherFloorShare",
              "/branches/1/parent",
              "/branches/3/parent",
              "/branches/4/values/maxQueueLength",
              "/branches/5/values/firstTokenTargetMillis"));
    }
  }

  @Test
  void givesEqualFindingsForEqualDocuments() {
    SettingsDocument document = withBranches(firm("'x': 1, 'y': 2".replace('\'', '"')));
    assertThat(Documents.findings(document), is(Documents.findings(document)));
  }

  @Nested
  class OfDocumentSyntax {

    @Test
    void rejectsEmptyListOfDocuments() {
      assertThat(pointers(Documents.findings()), contains("/regions"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "   ", "[]", "7", "{", "{\"regions\": [}", "{} {}", "\"text\""})
    void rejectsDocumentThatIsNotJsonObject(String text) {
      assertThat(pointers(Documents.findings(Documents.of(text))), contains(""));
    }

    @Test
    void reportsLineOfSyntaxError() {
      List<Finding> findings = Documents.findings(Documents.of("{\n  \"regions\": [}\n}"));
      assertThat(findings.get(0).message(), containsString("line 2"));
    }

    @Test
    void rejectsBytesThatAreNotUtf8() {
      byte[] bytes = "{\"models\": [\"ä\"]}".getBytes(StandardCharsets.ISO_8859_1);
      var document = new SettingsDocument("latin", bytes);
      assertThat(
          Documents.findings(document),
          contains(new Finding("latin", "", "Byte 0xE4 at offset 13 is not valid UTF-8")));
    }

    @Test
    void rejectsTruncatedUtf8Character() {
      var document = new SettingsDocument("cut", new byte[] {'{', '}', (byte) 0xC3});
      assertThat(Documents.findings(document).get(0).message(), containsString("UTF-8"));
    }

    @Test
    void rejectsDocumentAboveMaximumSize() {
      var document = new SettingsDocument("big", new byte[DocumentReader.MAX_BYTES + 1]);
      assertThat(
          Documents.findings(document).get(0).message(),
          allOf(containsString("1048577"), containsString("1048576")));
    }

    @Test
    void acceptsDocumentOfMaximumSize() {
      byte[] bytes = withBranches(firm("")).content();
      byte[] padded = " ".repeat(DocumentReader.MAX_BYTES).getBytes(StandardCharsets.UTF_8);
      System.arraycopy(bytes, 0, padded, 0, bytes.length);
      assertThat(Documents.findings(new SettingsDocument("padded", padded)), empty());
    }

    @Test
    void reportsDeepNestingAndContinues() {
      String deep = "[".repeat(20) + "]".repeat(20);
      List<Finding> findings =
          Documents.findings(withBranches(firm("\"rank\": " + deep + ", \"policy\": 1")));
      assertThat(
          pointers(findings),
          containsInAnyOrder(
              "/branches/0/values/rank" + "/0".repeat(12),
              "/branches/0/values/rank",
              "/branches/0/values/policy"));
    }

    @Test
    void reportsNestingBeyondParserLimitOnce() {
      String deep = "[".repeat(100_000) + "]".repeat(100_000);
      assertThat(Documents.findings(Documents.of("{\"regions\": " + deep + "}")).size(), is(1));
    }

    @Test
    void reportsEveryDuplicateKey() {
      List<Finding> findings =
          Documents.findings(
              withBranches(
                  firm("\"rank\": \"other\", \"rank\": \"other\", \"rank\": \"urgent\""),
                  branch("b", "acme", "kind", "k", "\"rank\": \"other\", \"rank\": \"other\"")));
      assertThat(
          findings.stream().filter(f -> f.message().contains("Duplicate key")).count(), is(3L));
    }

    @Test
    void reportsErrorsOfEveryDocument() {
      var first = new SettingsDocument("first", new byte[] {'['});
      var second = new SettingsDocument("second", new byte[] {'7'});
      assertThat(
          Documents.findings(first, second).stream().map(Finding::source).toList(),
          contains("first", "second"));
    }

    @Test
    void doesNotReportReferencesThatUnreadableDocumentMayDeclare() {
      var unreadable = new SettingsDocument("unreadable", new byte[] {'['});
      SettingsDocument document =
          Documents.of("{\"branches\": [" + branch("b", "acme", "kind", "k", "") + "]}");
      assertThat(
          Documents.findings(unreadable, document).stream().map(Finding::source).toList(),
          contains("unreadable"));
    }
  }

  @Nested
  class OfNames {

    @Test
    void reportsUnknownSettingWithNearestName() {
      assertThat(
          Documents.findings(withBranches(firm("\"DeadlineMilis\": 1"))),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/0/values/DeadlineMilis",
                  "Unknown setting \"DeadlineMilis\"; the nearest known one is"
                      + " \"deadlineMillis\"")));
    }

    @Test
    void reportsUnknownMember() {
      List<Finding> findings =
          Documents.findings(
              Documents.of("{\"regions\": [{\"id\": \"a\", \"datacenters\": []}], \"a/b\": 1}"));
      assertThat(pointers(findings), containsInAnyOrder("/regions/0/datacenters", "/a~1b"));
    }

    @Test
    void reportsUnknownAllowedRegionOnce() {
      SettingsDocument document = withBranches(firm("\"allowedRegions\": [\"nroth\"]"));
      assertThat(
          Documents.findings(document),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/0/values/allowedRegions",
                  "Unknown region \"nroth\"; the nearest known one is \"north\"")));
    }

    @ParameterizedTest
    @CsvSource({"region, /branches/1/name", "customer, /branches/1/name"})
    void reportsBranchOfUndeclaredName(String level, String pointer) {
      SettingsDocument document = withBranches(firm(""), branch("b", "acme", level, "nowhere", ""));
      assertThat(pointers(Documents.findings(document)), contains(pointer));
    }

    @Test
    void reportsLinkToUnknownRegion() {
      SettingsDocument document =
          Documents.of(
              "{\"regions\": [{\"id\": \"a\"}], \"links\": [{\"between\": [\"a\", \"b\"],"
                  + " \"oneWayMillis\": 1, \"megabitsPerSecond\": 1}]}");
      assertThat(pointers(Documents.findings(document)), contains("/links/0/between"));
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '`',
        value = {
          "regions|{'id': 'a'}|/regions/1/id",
          "models|'m'|/models/1",
          "services|{'id': 's'}|/services/1/id"
        })
    void reportsDuplicateDeclaration(String key, String item, String pointer) {
      String json = "{'" + key + "': [" + item + ", " + item + "]}";
      SettingsDocument region = Documents.of("{\"regions\": [{\"id\": \"r\"}]}");
      SettingsDocument duplicated = Documents.of(withDoubleQuotes(json));
      assertThat(pointers(Documents.findings(region, duplicated)), contains(pointer));
    }

    @Test
    void reportsInvalidHashWithoutQuotingAllOfIt() {
      SettingsDocument document =
          Documents.of(
              "{\"regions\": [{\"id\": \"r\"}], \"branches\": ["
                  + firm("")
                  + "], \"customers\": [{\"id\": \"c\", \"firm\": \"acme\","
                  + " \"keySha256\": \"secret-key\"}]}");
      Finding finding = Documents.findings(document).get(0);
      assertThat(
          finding.toString(),
          allOf(containsString("/customers/0/keySha256"), not(containsString("secret-key"))));
    }
  }

  @Nested
  class OfTheTree {

    @Test
    void reportsCycleOnceAndNotItsDescendants() {
      SettingsDocument document =
          withBranches(
              firm(""),
              branch("below", "a", "customer", "shop", ""),
              branch("a", "b", "kind", "a", ""),
              branch("b", "a", "region", "north", ""));
      assertThat(
          Documents.findings(document),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/2/parent",
                  "The parents form a cycle, but must end at a firm: a -> b -> a")));
    }

    @Test
    void doesNotReportDescendantsOfInvalidBranch() {
      SettingsDocument document =
          withBranches(
              firm("").replace("\"firm\"", "\"frim\""), branch("a", "acme", "kind", "a", ""));
      assertThat(pointers(Documents.findings(document)), contains("/branches/0/level"));
    }

    @Test
    void reportsBranchThatIsItsOwnParent() {
      SettingsDocument document = withBranches(firm(""), branch("a", "a", "kind", "a", ""));
      assertThat(pointers(Documents.findings(document)), contains("/branches/1/parent"));
    }

    @Test
    void reportsMissingParentAndSuggestsAnotherBranch() {
      SettingsDocument document = withBranches(firm(""), branch("acmy", "acmi", "kind", "a", ""));
      assertThat(
          Documents.findings(document),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/1/parent",
                  "Unknown parent \"acmi\"; the nearest known one is \"acme\"")));
    }

    @Test
    void reportsAmbiguousSiblings() {
      SettingsDocument document =
          withBranches(
              firm(""), branch("a", "acme", "kind", "k", ""), branch("b", "acme", "kind", "k", ""));
      assertThat(pointers(Documents.findings(document)), contains("/branches/2"));
    }

    @Test
    void reportsRootThatIsNotFirm() {
      SettingsDocument document =
          withBranches(firm(""), "{\"id\": \"r\", \"level\": \"region\", \"name\": \"north\"}");
      assertThat(pointers(Documents.findings(document)), contains("/branches/1"));
    }

    @Test
    void reportsLevelThatOccursTwiceOnPath() {
      SettingsDocument document =
          withBranches(
              firm(""), branch("a", "acme", "kind", "a", ""), branch("b", "a", "kind", "b", ""));
      assertThat(pointers(Documents.findings(document)), contains("/branches/2/level"));
    }

    @Test
    void reportsDuplicateBranchId() {
      SettingsDocument document =
          withBranches(
              firm(""), branch("a", "acme", "kind", "a", ""), branch("a", "acme", "kind", "b", ""));
      assertThat(pointers(Documents.findings(document)), contains("/branches/2/id"));
    }

    @Test
    void reportsBranchOfCustomerOfAnotherFirm() {
      SettingsDocument document =
          withBranches(
              firm(""),
              "{\"id\": \"other\", \"level\": \"firm\", \"name\": \"other\"}",
              branch("a", "other", "customer", "shop", ""));
      assertThat(pointers(Documents.findings(document)), contains("/branches/2/name"));
    }
  }

  @Nested
  class OfValues {

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '`',
        value = {
          "otherFloorShare|1.01|a number from 0 to 0.9",
          "otherFloorShare|-0.1|a number from 0 to 0.9",
          "otherFloorShare|'half'|a number from 0 to 0.9",
          "otherFloorShare|1|a number from 0 to 0.9",
          "maxQueueLength|0|a whole number from 1 to 100000",
          "linkBudgetShare|0|a number from 0.01 to 1",
          "deadlineMillis|0|a whole number from 1 to 3600000",
          "deadlineMillis|3600001|a whole number from 1 to 3600000",
          "deadlineMillis|1.5|a whole number from 1 to 3600000",
          "deadlineMillis|99999999999999999999|a whole number from 1 to 3600000",
          "maxBodyBytes|4294967297|a whole number from 1 to 67108864",
          "spillEnabled|1|true or false",
          "rank|'Urgent'|one of 'urgent', 'other'",
          "policy|null|one of 'prefix-affinity', 'least-loaded', 'round-robin'",
          "allowedRegions|[]|a list of at least one region id",
          "allowedRegions|'north'|a list of at least one region id",
          "customerWeight|0|a number from 0.01 to 1000"
        })
    void quotesInvalidValueAndAllowedValues(String name, String value, String allowed) {
      String json = withDoubleQuotes(value);
      SettingsDocument document = withBranches(firm("\"" + name + "\": " + json));
      assertThat(
          Documents.findings(document),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/0/values/" + name,
                  name + " must be " + withDoubleQuotes(allowed) + ", but is " + json)));
    }

    @Test
    void reportsFirstTokenTargetAboveDeadline() {
      SettingsDocument document =
          withBranches(
              firm("\"deadlineMillis\": 2000"),
              branch("a", "acme", "kind", "a", "\"firstTokenTargetMillis\": 2001"));
      assertThat(
          Documents.findings(document),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/1/values/firstTokenTargetMillis",
                  "firstTokenTargetMillis 2001 (a) must be at most deadlineMillis 2000 (acme)")));
    }

    @Test
    void acceptsFirstTokenTargetEqualToDeadline() {
      SettingsDocument document =
          withBranches(firm("\"deadlineMillis\": 2000, \"firstTokenTargetMillis\": 2000"));
      assertThat(Documents.findings(document), empty());
    }

    @Test
    void reportsDeadlineBelowRoundTrip() {
      SettingsDocument document =
          withBranches(firm("\"deadlineMillis\": 109, \"firstTokenTargetMillis\": 100"));
      assertThat(
          Documents.findings(document),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/0/values/deadlineMillis",
                  "deadlineMillis 109 must be at least the round trip of 110 ms between the"
                      + " allowed regions north and south")));
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "\"deadlineMillis\": 110, \"firstTokenTargetMillis\": 100",
          "\"deadlineMillis\": 109, \"firstTokenTargetMillis\": 100,"
              + " \"allowedRegions\": [\"north\"]"
        })
    void acceptsDeadlineThatAllowedRegionsCanMeet(String values) {
      assertThat(Documents.findings(withBranches(firm(values))), empty());
    }

    @Test
    void reportsAllowedRegionsWithoutCommonRegion() {
      SettingsDocument document =
          withBranches(
              firm(""),
              branch("a", "acme", "kind", "a", "\"allowedRegions\": [\"north\"]"),
              branch("b", "acme", "customer", "shop", "\"allowedRegions\": [\"south\"]"));
      assertThat(
          Documents.findings(document),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/2/values/allowedRegions",
                  "allowedRegions must leave at least one region, but no region is in the sets of"
                      + " all branches a, b")));
    }

    @Test
    void reportsInstanceSettingInBranchOfKind() {
      SettingsDocument document =
          withBranches(firm(""), branch("a", "acme", "kind", "a", "\"logLevel\": \"info\""));
      assertThat(
          Documents.findings(document),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/1/values/logLevel",
                  "logLevel holds for a whole instance and must be set in branches of firms and"
                      + " regions, but \"a\" is for a kind")));
    }

    @Test
    void reportsCustomerSettingInBranchOfKind() {
      SettingsDocument document =
          withBranches(
              firm(""),
              branch("a", "acme", "customer", "shop", "\"customerWeight\": 2"),
              branch("a.k", "a", "kind", "k", "\"customerWeight\": 3"));
      assertThat(
          pointers(Documents.findings(document)), contains("/branches/2/values/customerWeight"));
    }

    @Test
    void reportsInstanceSettingThatFirmsSetDifferently() {
      SettingsDocument document =
          withBranches(
              firm("\"logLevel\": \"info\""),
              "{\"id\": \"b\", \"level\": \"firm\", \"name\": \"b\","
                  + " \"values\": {\"logLevel\": \"fine\"}}");
      assertThat(pointers(Documents.findings(document)), contains("/branches/1/values/logLevel"));
    }

    @Test
    void reportsDeadlineAboveDrainTimeout() {
      SettingsDocument document =
          withBranches(
              firm("\"drainTimeoutMillis\": 40000"),
              branch("a", "acme", "kind", "a", "\"deadlineMillis\": 40001"));
      assertThat(
          Documents.findings(document),
          contains(
              new Finding(
                  Documents.SOURCE,
                  "/branches/1/values/deadlineMillis",
                  "deadlineMillis 40001 (a) must be at most drainTimeoutMillis 40000 (acme)")));
    }

    @Test
    void reportsDrainTimeoutBelowDefaultDeadline() {
      SettingsDocument document = withBranches(firm("\"drainTimeoutMillis\": 29999"));
      assertThat(
          pointers(Documents.findings(document)),
          contains("/branches/0/values/drainTimeoutMillis"));
    }

    @Test
    void reportsValueSetByBranchesOfEqualPrecedence() {
      SettingsDocument document =
          withBranches(
              firm(""),
              branch("a", "acme", "region", "north", ""),
              branch("a.shop", "a", "customer", "shop", "\"prefixTokens\": 1"),
              branch("b", "acme", "kind", "k", ""),
              branch("b.shop", "b", "customer", "shop", "\"prefixTokens\": 2"));
      assertThat(
          pointers(Documents.findings(document)), contains("/branches/4/values/prefixTokens"));
    }
  }

  private static String withDoubleQuotes(String text) {
    return text.replace('\'', '"');
  }

  private static List<String> pointers(List<Finding> findings) {
    return findings.stream().map(Finding::pointer).toList();
  }
}
