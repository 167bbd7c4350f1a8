package org.gentianslip.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Revision;

class SettingsParserPropertyTest {

  private static final double MIN_VALID_PERCENT = 20;
  private static final String CHARACTERS = "{}[]\",:0 \\n-e.";
  private static final List<String> KINDS = List.of("k1", "k2", "k3");
  private static final String[] LEVELS = {"region", "kind", "customer"};
  private static final String[][] NAMES = {{"north", "south"}, {"k1", "k2"}, {"shop", "bank"}};

  @Property(tries = 500, seed = "20261204")
  void damagedDocumentsGiveResultsAndNeverExceptions(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int damages) throws IOException {
    var random = new Random(seed);
    byte[] bytes = Documents.example("qadri.json").content().clone();
    for (int i = 0; i < damages; i++) {
      bytes[random.nextInt(bytes.length)] = damage(random);
    }
    ParseResult result =
        SettingsParser.parse(Revision.of(1), List.of(new SettingsDocument("damaged", bytes)));
    if (result instanceof ParseResult.Rejected rejected) {
      assertThat(rejected.findings().isEmpty(), is(false));
    }
  }

  private static byte damage(Random random) {
    return random.nextInt(4) == 0
        ? (byte) random.nextInt()
        : (byte) CHARACTERS.charAt(random.nextInt(CHARACTERS.length()));
  }

  @Property(tries = 300, seed = "20261204")
  void tablesAgreeWithTheRuleOfTheCascade(@ForAll long seed) {
    List<String> branches = randomBranches(new Random(seed));
    ParseResult result = parse(branches);
    boolean valid = result instanceof ParseResult.Accepted;
    Statistics.collect(valid);
    Statistics.coverage(c -> c.check(true).percentage(p -> p > MIN_VALID_PERCENT));
    if (!(result instanceof ParseResult.Accepted accepted)) {
      return;
    }
    Settings settings = accepted.settings();
    for (Customer customer : settings.customers()) {
      for (Region region : settings.regions()) {
        for (String kind : KINDS) {
          Scope scope =
              Scope.ALL
                  .with(BranchLevel.FIRM, "acme")
                  .with(BranchLevel.REGION, region.id().value())
                  .with(BranchLevel.KIND, kind)
                  .with(BranchLevel.CUSTOMER, customer.id().value());
          EffectiveSettings values =
              settings.effective(customer.id(), region.id(), KindId.of(kind));
          assertThat(
              scope.toString(),
              values.origin(SettingCatalog.PREFIX_TOKENS),
              is(lastMatching(settings, scope)));
        }
      }
    }
  }

  /** Finds the branch that decides by a search over all branches; every one sets the value. */
  private static String lastMatching(Settings settings, Scope scope) {
    Branch last = null;
    for (Branch branch : settings.branches()) {
      if (branch.scope().includes(scope) && (last == null || isAfter(branch, last))) {
        last = branch;
      }
    }
    assertThat(last, is(not((Branch) null)));
    return last.id();
  }

  private static boolean isAfter(Branch branch, Branch other) {
    return branch.depth() != other.depth()
        ? branch.depth() > other.depth()
        : branch.level().compareTo(other.level()) > 0;
  }

  @Property(tries = 100, seed = "20261204")
  void orderOfBranchesDoesNotMatter(@ForAll long seed) {
    var random = new Random(seed);
    var branches = new ArrayList<>(randomBranches(random));
    String first = valuesInForce(parse(branches));
    Collections.shuffle(branches, random);
    assertThat(valuesInForce(parse(branches)), is(first));
  }

  private static String valuesInForce(ParseResult result) {
    if (!(result instanceof ParseResult.Accepted accepted)) {
      return "rejected";
    }
    var values = new StringBuilder();
    for (Customer customer : accepted.settings().customers()) {
      for (Region region : accepted.settings().regions()) {
        for (String kind : KINDS) {
          values.append(
              EffectiveSettingsJson.toJson(
                  accepted.settings().effective(customer.id(), region.id(), KindId.of(kind))));
        }
      }
    }
    return values.toString();
  }

  private static ParseResult parse(List<String> branches) {
    return Documents.parse(Documents.withBranches(branches.toArray(new String[0])));
  }

  private static List<String> randomBranches(Random random) {
    var branches = new ArrayList<String>();
    branches.add(Documents.firm("\"prefixTokens\": 0"));
    var ids = new ArrayList<>(List.of("acme"));
    int count = random.nextInt(7);
    for (int i = 0; i < count; i++) {
      String parent = ids.get(random.nextInt(ids.size()));
      int level = random.nextInt(LEVELS.length);
      String name = NAMES[level][random.nextInt(2)];
      String id = "b" + i;
      branches.add(
          Documents.branch(id, parent, LEVELS[level], name, "\"prefixTokens\": " + (i + 1)));
      ids.add(id);
    }
    return branches;
  }
}
