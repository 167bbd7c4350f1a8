package org.gentianslip.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EffectiveSettingsTest {

  private static final String FIRM = Documents.firm("\"prefixTokens\": 1");
  private static final String NORTH =
      Documents.branch("acme.north", "acme", "region", "north", "\"prefixTokens\": 2");
  private static final String KIND =
      Documents.branch(
          "acme.report", "acme", "kind", "report", "\"rank\": \"urgent\", \"prefixTokens\": 3");
  private static final String SHOP =
      Documents.branch("acme.shop", "acme", "customer", "shop", "\"prefixTokens\": 4");
  private static final String NORTH_KIND =
      Documents.branch("acme.north.report", "acme.north", "kind", "report", "\"prefixTokens\": 5");

  private final CustomerId shop = CustomerId.of("shop");
  private final CustomerId bank = CustomerId.of("bank");
  private final RegionId north = RegionId.of("north");
  private final RegionId south = RegionId.of("south");
  private final KindId report = KindId.of("report");
  private final KindId unnamed = KindId.of("unnamed");

  @Nested
  class WithoutBranchesBelowTheFirm {

    private final Settings settings = Documents.accepted(Documents.withBranches(FIRM));

    @Test
    void takesTheFirmsValue() {
      assertThat(prefix(settings.effective(shop, north, report)), is(1));
    }

    @Test
    void namesTheFirmAsOrigin() {
      EffectiveSettings values = settings.effective(shop, north, report);
      assertThat(values.origin(SettingCatalog.PREFIX_TOKENS), is("acme"));
    }

    @Test
    void fallsBackToTheDefault() {
      EffectiveSettings values = settings.effective(shop, north, report);
      assertThat(values.get(SettingCatalog.FIRST_TOKEN_TARGET), is(Duration.ofMillis(620)));
    }

    @Test
    void namesTheDefaultAsOrigin() {
      EffectiveSettings values = settings.effective(shop, north, report);
      assertThat(values.origin(SettingCatalog.DEADLINE), is("default"));
    }

    @Test
    void allowsAllRegions() {
      EffectiveSettings values = settings.effective(shop, north, report);
      assertThat(values.get(SettingCatalog.ALLOWED_REGIONS), contains(north, south));
    }

    @Test
    void knowsNoKind() {
      Customer customer = settings.customer(shop).orElseThrow();
      assertThat(settings.declaresKind(customer, report), is(false));
    }

    @Test
    void refusesAnUnknownCustomer() {
      CustomerId unknown = CustomerId.of("nobody");
      var thrown =
          assertThrows(
              IllegalArgumentException.class, () -> settings.effective(unknown, north, report));
      assertThat(thrown.getMessage(), containsString("nobody"));
    }
  }

  @Nested
  class WithBranchesOfEachLevel {

    private final Settings settings =
        Documents.accepted(Documents.withBranches(SHOP, KIND, NORTH, FIRM));

    @Test
    void regionOverridesFirm() {
      assertThat(prefix(settings.effective(bank, north, unnamed)), is(2));
    }

    @Test
    void kindOverridesRegion() {
      assertThat(prefix(settings.effective(bank, north, report)), is(3));
    }

    @Test
    void customerOverridesKind() {
      assertThat(prefix(settings.effective(shop, north, report)), is(4));
    }

    @Test
    void otherRegionKeepsTheFirmsValue() {
      assertThat(prefix(settings.effective(bank, south, unnamed)), is(1));
    }

    @Test
    void undeclaredRegionKeepsTheFirmsValue() {
      assertThat(prefix(settings.effective(bank, RegionId.of("far"), unnamed)), is(1));
    }

    @Test
    void keepsValuesThatLaterBranchesOmit() {
      EffectiveSettings values = settings.effective(shop, north, report);
      assertThat(values.get(SettingCatalog.RANK), is(Rank.URGENT));
    }

    @Test
    void knowsTheKind() {
      Customer customer = settings.customer(bank).orElseThrow();
      assertThat(settings.declaresKind(customer, report), is(true));
    }

    @Test
    void equalRequestsShareTheirValues() {
      assertThat(
          settings.effective(shop, north, report),
          sameInstance(settings.effective(shop, north, report)));
    }

    @Test
    void scopeResolvesLikeRequest() {
      Scope scope =
          Scope.ALL
              .with(BranchLevel.FIRM, "acme")
              .with(BranchLevel.REGION, "north")
              .with(BranchLevel.KIND, "report");
      assertThat(prefix(settings.effective(scope)), is(3));
    }
  }

  @Nested
  class WithDeeperBranches {

    private final Settings settings =
        Documents.accepted(Documents.withBranches(FIRM, NORTH, NORTH_KIND, SHOP));

    @Test
    void depthGoesBeforeLevel() {
      assertThat(prefix(settings.effective(shop, north, report)), is(5));
    }

    @Test
    void branchNeedsItsAncestorsToMatch() {
      assertThat(prefix(settings.effective(shop, south, report)), is(4));
    }
  }

  @Nested
  class WithResidency {

    private final Settings settings =
        Documents.accepted(
            Documents.withBranches(
                FIRM,
                Documents.branch(
                    "both", "acme", "kind", "report", "\"allowedRegions\": [\"south\", \"north\"]"),
                Documents.branch(
                    "bound", "acme", "customer", "shop", "\"allowedRegions\": [\"south\"]"),
                Documents.branch(
                    "wide",
                    "bound",
                    "kind",
                    "report",
                    "\"allowedRegions\": [\"south\", \"north\"]")));

    @Test
    void laterBranchCannotWiden() {
      EffectiveSettings values = settings.effective(shop, north, report);
      assertThat(values.get(SettingCatalog.ALLOWED_REGIONS), contains(south));
    }

    @Test
    void originNamesAllBranchesThatSetIt() {
      EffectiveSettings values = settings.effective(shop, north, report);
      assertThat(values.origin(SettingCatalog.ALLOWED_REGIONS), is("both, bound, wide"));
    }
  }

  @Nested
  class OfWholeInstances {

    private final Settings settings =
        Documents.accepted(
            Documents.withBranches(
                Documents.firm("\"logLevel\": \"fine\""),
                Documents.branch("n", "acme", "region", "north", "\"logLevel\": \"info\""),
                "{\"id\": \"b\", \"level\": \"firm\", \"name\": \"b\"}"));

    @Test
    void regionOverridesFirm() {
      assertThat(settings.effectiveForInstance(north).get(SettingCatalog.LOG_LEVEL), is("info"));
    }

    @Test
    void otherRegionKeepsTheFirmsValue() {
      assertThat(settings.effectiveForInstance(south).get(SettingCatalog.LOG_LEVEL), is("fine"));
    }

    @Test
    void namesTheOrigin() {
      assertThat(settings.effectiveForInstance(north).origin(SettingCatalog.LOG_LEVEL), is("n"));
    }

    @Test
    void requestValuesKeepTheirDefaults() {
      assertThat(settings.effectiveForInstance(north).get(SettingCatalog.RANK), is(Rank.OTHER));
    }
  }

  private static int prefix(EffectiveSettings values) {
    return values.get(SettingCatalog.PREFIX_TOKENS);
  }
}
